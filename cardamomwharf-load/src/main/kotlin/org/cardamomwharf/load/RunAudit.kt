/*
 * Asks the stand-ins for backend servers how often they ran each key, after a load run.
 */
package org.cardamomwharf.load

import kotlinx.serialization.json.Json
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call

private const val AUDIT_LIMIT_MS = 3_000L

/** Returns the number of keys that ran more than once at the servers with [addresses] together. */
public fun countKeysRunTwice(caller: HttpClient, addresses: List<String>): Int =
    addresses
        .flatMap { readRuns(caller, it).entries }
        .groupBy({ it.key }, { it.value })
        .count { (_, runs) -> runs.sum() > 1 }

private fun readRuns(caller: HttpClient, address: String): Map<String, Int> {
    val end = caller.call(HttpCall("GET", "http://$address/wharf/runs", timeoutMs = AUDIT_LIMIT_MS))
    check(end is HttpResult.Completed) { "no answer from the server at $address" }
    return Json.decodeFromString(end.response.body.decodeToString())
}
