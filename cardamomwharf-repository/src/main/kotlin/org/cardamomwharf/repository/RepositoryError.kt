/*
 * Failures of reading and changing the documents of an environment.
 */
package org.cardamomwharf.repository

import org.cardamomwharf.core.AttemptId

/** Represents why a change of an environment failed. */
public sealed interface RepositoryError {
    /** Another operator was faster; [winner] is in force now. */
    public data class Conflict(public val winner: HeadEntry?) : RepositoryError

    /** The platform could not be asked. */
    public data class Platform(public val cause: PlatformError) : RepositoryError

    /** The platform does not tell whether the change took effect. */
    public data class OutcomeUnknown(public val attempt: AttemptId) : RepositoryError

    /** The environment has no such document. */
    public data class Missing(public val environment: EnvironmentName) : RepositoryError

    /** The stored contents don't fit their hash. */
    public data class HashMismatch(public val hash: String) : RepositoryError
}
