/*
 * The errors of reading and changing the documents of an environment.
 */
package org.cardamomwharf.repository

import org.cardamomwharf.core.AttemptId

/** Represents why an operation on an environment failed. */
public sealed interface RepositoryError {
    /** Another change took effect first; [winner] is in force. */
    public data class Conflict(public val winner: HeadEntry?) : RepositoryError

    /** A call to the platform failed. */
    public data class Platform(public val cause: PlatformError) : RepositoryError

    /** It is unknown whether the change took effect. */
    public data class OutcomeUnknown(public val attempt: AttemptId) : RepositoryError

    /** The environment has no such document. */
    public data class Missing(public val environment: EnvironmentName) : RepositoryError

    /** The stored contents do not match [hash]. */
    public data class HashMismatch(public val hash: String) : RepositoryError
}
