/*
 * Faults that tests and experiments set with PUT /faults; each request replaces all faults.
 */
package org.cardamomwharf.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/**
 * Represents the faults of the platform stand-in.
 *
 * @param isDown every request is refused without effect.
 * @param lostWrites number of subsequent writes that are applied but whose response is lost.
 * @param isListStale the instance list is frozen as of the time when this was set.
 */
@Serializable
public data class PlatformFaults(
    public val delayMs: Long = 0,
    public val isDown: Boolean = false,
    public val lostWrites: Int = 0,
    public val isListStale: Boolean = false,
)

/**
 * Represents the faults of a server stand-in.
 *
 * @param isSilent requests are run but not responded to in time.
 * @param isRefusing requests are refused without being run.
 * @param isHealthMisreported the load report and the response headers show an idle server that is not leaving.
 * @param isResponseSwapped each request gets the response to the previous request.
 */
@Serializable
public data class ServerFaults(
    public val delayMs: Long = 0,
    public val isSilent: Boolean = false,
    public val isRefusing: Boolean = false,
    public val isLeaving: Boolean = false,
    @SerialName("isHealthLying") public val isHealthMisreported: Boolean = false,
    @SerialName("isCrossing") public val isResponseSwapped: Boolean = false,
)

private val json = Json { ignoreUnknownKeys = false }

internal fun readPlatformFaults(request: Request): PlatformFaults = json.decodeFromString(request.bodyString())

internal fun readServerFaults(request: Request): ServerFaults = json.decodeFromString(request.bodyString())

internal fun done(): Response = Response(Status.OK).body("done\n")
