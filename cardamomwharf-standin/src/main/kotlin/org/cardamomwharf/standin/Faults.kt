/*
 * Faults that tests and experiments switch on by a PUT to /faults. They are replaced as a whole.
 */
package org.cardamomwharf.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/**
 * Represents the faults of a stand-in for the platform.
 *
 * @param isDown every call is refused without effect.
 * @param lostWrites number of coming writes that take effect and whose answer is lost.
 * @param isListStale the instance list stays as it was when this was switched on.
 */
@Serializable
public data class PlatformFaults(
    public val delayMs: Long = 0,
    public val isDown: Boolean = false,
    public val lostWrites: Int = 0,
    public val isListStale: Boolean = false,
)

/**
 * Represents the faults of a stand-in for a backend server.
 *
 * @param isSilent requests are run and never answered.
 * @param isRefusing requests are refused without being run.
 * @param isHealthLying health and load say that all is well.
 * @param isCrossing each request gets the answer to the one before it.
 */
@Serializable
public data class ServerFaults(
    public val delayMs: Long = 0,
    public val isSilent: Boolean = false,
    public val isRefusing: Boolean = false,
    public val isLeaving: Boolean = false,
    public val isHealthLying: Boolean = false,
    public val isCrossing: Boolean = false,
)

private val json = Json { ignoreUnknownKeys = false }

internal fun readPlatformFaults(request: Request): PlatformFaults = json.decodeFromString(request.bodyString())

internal fun readServerFaults(request: Request): ServerFaults = json.decodeFromString(request.bodyString())

internal fun done(): Response = Response(Status.OK).body("done\n")
