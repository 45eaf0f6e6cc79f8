/*
 * Asks the stand-ins for backend servers how often they ran each key, after a load run.
 */
package org.cardamomwharf.load

import kotlinx.serialization.json.Json
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpCaller
import org.cardamomwharf.http.HttpEnd
import org.cardamomwharf.http.call

private const val AUDIT_LIMIT_MS = 3_000L

/** Returns the number of keys that ran more than once at the servers with [addresses] together. */
public fun countKeysRunTwice(caller: HttpCaller, addresses: List<String>): Int =
    addresses
        .flatMap { readRuns(caller, it).entries }
        .groupBy({ it.key }, { it.value })
        .count { (_, runs) -> runs.sum() > 1 }

private fun readRuns(caller: HttpCaller, address: String): Map<String, Int> {
    val end = caller.call(HttpCall("GET", "http://$address/wharf/runs", limitMs = AUDIT_LIMIT_MS))
    check(end is HttpEnd.Answered) { "no answer from the server at $address" }
    return Json.decodeFromString(end.answer.body.decodeToString())
}
