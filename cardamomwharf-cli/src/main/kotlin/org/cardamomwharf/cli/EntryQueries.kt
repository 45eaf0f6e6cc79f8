/*
 * The commands that ask entry instances: status and explain.
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

private const val LIMIT_MS = 3_000L

/** Represents the questions to entry instances. */
public class EntryQueries(private val caller: HttpClient) {
    /** Returns the state of the instances with the admin addresses [addresses]. */
    public fun status(addresses: List<String>): Result<Report, CommandError> {
        val answers = addresses.map { it to ask("http://$it/status").get() }
        val reached = answers.mapNotNull { it.second }
        if (reached.isEmpty()) return Err(CommandError.Unreachable(addresses.joinToString()))
        val lines = answers.map { (address, answer) ->
            answer?.let { statusLines(it.jsonObject) } ?: "$address  doesn't answer"
        }
        return Ok(Report(lines.joinToString("\n"), JsonArray(reached)))
    }

    /** Returns why [client] gets its ranking for [service] from the instance at [address]. */
    public fun explain(address: String, service: String, client: String): Result<Report, CommandError> =
        ask("http://$address/explain?service=$service&client=$client")
            .map { Report(explainLines(it.jsonObject), it) }

    private fun ask(url: String): Result<JsonElement, CommandError> {
        val end = caller.call(HttpCall("GET", url, timeoutMs = LIMIT_MS))
        return when {
            end !is HttpResult.Completed -> Err(CommandError.Unreachable(url))
            end.response.status != StatusCode.OK -> Err(CommandError.Missing("such service or client block"))
            else -> Ok(Json.parseToJsonElement(end.response.body.decodeToString()))
        }
    }
}

private fun statusLines(status: JsonObject): String {
    val marks = listOf("isJoining" to "joining", "isLeaving" to "leaving", "isStoreDown" to "store down")
        .filter { (key, _) -> status.field(key) == "true" }
        .joinToString("") { ", " + it.second }
    val head = "${status.field("instance")}  ${status.field("zone")}  document ${status.field("documentVersion")}" +
        "  cap parts ${status.field("heldCapParts")}  open ${status.field("openRequests")}$marks"
    val services = status.getValue("services").jsonArray.map { it.jsonObject }.map { service ->
        "  ${service.field("service")}: ${service.field("freeSlots")} of ${service.field("totalSlots")} slots free, " +
            "${service.field("waiting")} waiting, ${service.field("shiftedPermille")} permille shifted"
    }
    val leaving = status.getValue("servers").jsonArray.map { it.jsonObject }
        .filter { it.field("isLeaving") == "true" }
        .map { "  ${it.field("server")} is leaving, ${it.field("inFlight")} in flight" }
    val awaited = status.getValue("capRaisesAwait").jsonArray.map { it.jsonPrimitive.content }
    val raises = if (awaited.isEmpty()) emptyList() else listOf("  raised caps wait for ${awaited.joinToString()}")
    return (listOf(head) + services + leaving + raises).joinToString("\n")
}

private fun explainLines(explanation: JsonObject): String {
    val head = "Client ${explanation.field("client")} belongs to ${explanation.field("clientZone")}; " +
        "objective ${explanation.field("objective")}, document ${explanation.field("documentVersion")}, " +
        "${explanation.field("shiftedPermille")} permille of the region's clients are shifted."
    val places = explanation.getValue("placements").jsonArray.map { it.jsonObject }.map { place ->
        val mark = if (place.field("isAnswered") == "true") "*" else " "
        "$mark ${place.field("instance")}  ${place.field("zone")}  ${place.field("tier")}, " +
            "${place.field("freeSlots")} free slots"
    }
    return (listOf(head) + places).joinToString("\n")
}

private fun JsonObject.field(name: String): String = (get(name) as? JsonPrimitive)?.jsonPrimitive?.content.orEmpty()
