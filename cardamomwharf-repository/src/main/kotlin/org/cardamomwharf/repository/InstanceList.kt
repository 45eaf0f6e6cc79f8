/*
 * The platform's list of live and leaving instances, which lags behind their actual state.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable

/** Represents an instance on the list. */
@Serializable
public data class PlatformInstance(
    public val name: String,
    public val role: PlatformRole,
    public val zone: String,
    public val address: String,
    public val peerAddress: String = "",
    public val service: String = "",
    public val isLeaving: Boolean = false,
)

/** Represents the role of an instance. */
@Serializable
public enum class PlatformRole { ENTRY, SERVER }

/** Represents the instance list of the platform. */
public fun interface InstanceList {
    /** Returns all instances that the platform knows. */
    public fun read(): Result<List<PlatformInstance>, PlatformError>
}
