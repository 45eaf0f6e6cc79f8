/*
 * Records how far away the instances are that the directory lists. This distinguishes callers that run in another
 * region because their own region seemed unavailable from requests that spilled over.
 */
package org.cardamomwharf.gateway.directory

import kotlinx.serialization.json.put
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.gateway.logs.DecisionLog
import org.cardamomwharf.gateway.metrics.GatewayMetrics
import org.cardamomwharf.steering.instances.DirectoryChoice
import org.cardamomwharf.steering.instances.DirectoryScope
import java.util.concurrent.ConcurrentHashMap

internal class DirectoryScopeLog(private val log: DecisionLog, private val metrics: GatewayMetrics) {
    private val scopes = ConcurrentHashMap<ZoneName, DirectoryScope>()

    /** Counts the response to a caller in [zone] and logs a change of its scope. */
    fun record(zone: ZoneName?, choice: DirectoryChoice) {
        metrics.countDirectoryResponse(choice.scope)
        if (zone == null) return
        val before = scopes.put(zone, choice.scope)
        if (before == choice.scope) return
        log.event("directory-scope") {
            put("zone", zone.value)
            put("before", before?.code)
            put("after", choice.scope.code)
            put("instances", choice.instances.size)
        }
    }
}
