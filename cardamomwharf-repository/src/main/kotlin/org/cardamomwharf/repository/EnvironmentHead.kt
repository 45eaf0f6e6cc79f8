/*
 * The head row of an environment names the document in force and the versions before it. It is moved only by
 * compare-and-set. Each entry carries the attempt that made it, so that a lost answer is settled by reading back, even
 * when another operator has moved the head since.
 */
package org.cardamomwharf.repository

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion

/**
 * Represents one accepted document of an environment.
 *
 * @param capEpoch grows by one whenever the caps are divided in another way than before.
 */
@Serializable
public data class HeadEntry(
    public val version: DocumentVersion,
    public val hash: String,
    public val attempt: AttemptId,
    public val operator: String,
    public val note: String,
    public val acceptedAtEpochSeconds: Long,
    public val capEpoch: CapEpoch = CapEpoch.FIRST,
)

/** Represents the head row; the newest entry comes first. */
@Serializable
public data class EnvironmentHead(public val entries: List<HeadEntry>) {
    /** The document in force. */
    public val newest: HeadEntry get() = entries.first()
}

/** Represents the name of an environment. */
@Serializable
@JvmInline
public value class EnvironmentName(public val value: String) {
    public companion object {
        /** Where documents are tried. */
        public val TRIAL: EnvironmentName = EnvironmentName("trial")

        /** Where documents are in force for callers. */
        public val PRODUCTION: EnvironmentName = EnvironmentName("production")
    }
}
