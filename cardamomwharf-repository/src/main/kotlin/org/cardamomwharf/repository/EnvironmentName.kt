/*
 * The names of environments.
 */
package org.cardamomwharf.repository

import kotlinx.serialization.Serializable

/** Represents the name of an environment. */
@Serializable
@JvmInline
public value class EnvironmentName(public val value: String) {
    public companion object {
        /** The environment in which documents are tried. */
        public val TRIAL: EnvironmentName = EnvironmentName("trial")

        /** The environment whose document is in force for callers. */
        public val PRODUCTION: EnvironmentName = EnvironmentName("production")
    }
}
