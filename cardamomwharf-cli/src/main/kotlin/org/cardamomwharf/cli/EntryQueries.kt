/*
 * Queries the admin API of entry instances for the commands `status` and `explain`.
 */
package org.cardamomwharf.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call

private const val TIMEOUT_MS = 3_000L

/** Queries the admin API of entry instances. */
public class EntryQueries(private val httpClient: HttpClient) {
    /** Returns the status of the instances at the admin addresses [addresses]. */
    public fun status(addresses: List<String>): Result<Report, CommandError> {
        val statuses = addresses.map { it to fetchJson("http://$it/status").get() }
        val reached = statuses.mapNotNull { it.second }
        if (reached.isEmpty()) return Err(CommandError.Unreachable(addresses.joinToString()))
        val lines = statuses.map { (address, status) ->
            status?.let { formatStatus(it.jsonObject) } ?: "$address  no response"
        }
        return Ok(Report(lines.joinToString("\n"), JsonArray(reached)))
    }

    /** Returns how the instance at [address] ranks entry instances for [client] and [service], and why. */
    public fun explain(address: String, service: String, client: String): Result<Report, CommandError> =
        fetchJson("http://$address/explain?service=$service&client=$client")
            .map { Report(formatExplanation(it.jsonObject), it) }

    private fun fetchJson(url: String): Result<JsonElement, CommandError> {
        val result = httpClient.call(HttpCall("GET", url, timeoutMs = TIMEOUT_MS))
        return when {
            result !is HttpResult.Completed -> Err(CommandError.Unreachable(url))
            result.response.status != StatusCode.OK -> Err(CommandError.Missing("such service or client block"))
            else -> Ok(Json.parseToJsonElement(result.response.body.decodeToString()))
        }
    }
}

private fun formatStatus(status: JsonObject): String {
    val flags = listOf("isJoining" to "joining", "isLeaving" to "leaving", "isStoreDown" to "store down")
        .filter { (key, _) -> status.field(key) == "true" }
        .joinToString("") { ", " + it.second }
    val summary = "${status.field("instance")}  ${status.field("zone")}  document ${status.field("documentVersion")}" +
        "  cap parts ${status.field("heldCapParts")}  open ${status.field("openRequests")}$flags"
    val services = status.getValue("services").jsonArray.map { it.jsonObject }.map { service ->
        "  ${service.field("service")}: ${service.field("freeSlots")} of ${service.field("totalSlots")} slots free, " +
            "${service.field("waiting")} waiting, ${service.field("shiftedPermille")} permille shifted"
    }
    val leaving = status.getValue("servers").jsonArray.map { it.jsonObject }
        .filter { it.field("isLeaving") == "true" }
        .map { "  ${it.field("server")} is leaving, ${it.field("inFlight")} in flight" }
    val pendingZones = status.getValue("capRaisesAwait").jsonArray.map { it.jsonPrimitive.content }
    val pendingRaises =
        if (pendingZones.isEmpty()) emptyList() else listOf("  raised caps wait for ${pendingZones.joinToString()}")
    return (listOf(summary) + services + leaving + pendingRaises).joinToString("\n")
}

private fun formatExplanation(explanation: JsonObject): String {
    val summary = "Client ${explanation.field("client")} belongs to ${explanation.field("clientZone")}; " +
        "objective ${explanation.field("objective")}, document ${explanation.field("documentVersion")}, " +
        "${explanation.field("shiftedPermille")} permille of the region's clients are shifted."
    val placements = explanation.getValue("placements").jsonArray.map { it.jsonObject }.map { placement ->
        val mark = if (placement.field("isAnswered") == "true") "*" else " "
        "$mark ${placement.field("instance")}  ${placement.field("zone")}  ${placement.field("tier")}, " +
            "${placement.field("freeSlots")} free slots"
    }
    return (listOf(summary) + placements).joinToString("\n")
}

private fun JsonObject.field(name: String): String = (get(name) as? JsonPrimitive)?.jsonPrimitive?.content.orEmpty()
