/*
 * Notes how far away the instances are that callers were named, so that callers who run in another region because
 * their own was believed to be gone can be told from requests that were lent.
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

    /** Counts the answer to a caller in [zone] and writes a line when its scope is another than before. */
    fun note(zone: ZoneName?, choice: DirectoryChoice) {
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
