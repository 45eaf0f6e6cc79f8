/*
 * Checks after a load run, by the counts of the server stand-ins, that no idempotency key ran twice.
 */
package org.cardamomwharf.load

import kotlinx.serialization.json.Json
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call

private const val AUDIT_TIMEOUT_MS = 3_000L

/** Returns the number of idempotency keys that ran more than once over all servers at [addresses]. */
public fun countKeysRunTwice(client: HttpClient, addresses: List<String>): Int =
    addresses
        .flatMap { readRuns(client, it).entries }
        .groupBy({ it.key }, { it.value })
        .count { (_, runs) -> runs.sum() > 1 }

private fun readRuns(client: HttpClient, address: String): Map<String, Int> {
    val result = client.call(HttpCall("GET", "http://$address/wharf/runs", timeoutMs = AUDIT_TIMEOUT_MS))
    check(result is HttpResult.Completed) { "no response from the server at $address" }
    return Json.decodeFromString(result.response.body.decodeToString())
}
