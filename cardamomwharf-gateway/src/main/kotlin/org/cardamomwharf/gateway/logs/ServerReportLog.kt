/*
 * Logs and counts what backend servers state about themselves when it changes what they are sent.
 */
package org.cardamomwharf.gateway.logs

import kotlinx.serialization.json.put
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.forward.proxy.ServerReportListener
import org.cardamomwharf.gateway.metrics.GatewayMetrics
import org.cardamomwharf.steering.servers.LimitChange
import org.cardamomwharf.steering.servers.ServerReportChange

internal class ServerReportLog(
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    private val tellOthers: () -> Unit,
) : ServerReportListener {
    override fun onChange(server: ServerName, change: ServerReportChange) {
        if (change.isLeaving) {
            metrics.countServerReport("leaving")
            log.event("server-leaving") { put("server", server.value) }
        }
        change.limit?.let(::recordLimit)
    }

    private fun recordLimit(change: LimitChange) {
        metrics.countServerReport(if (change.afterPerSecond == null) "limit-ended" else "limit")
        log.event("server-limit") {
            put("server", change.server.value)
            put("beforePerSecond", change.beforePerSecond)
            put("afterPerSecond", change.afterPerSecond)
        }
    }

    override fun onMalformedLimit(server: ServerName) {
        metrics.countServerReport("limit-malformed")
        log.event("server-limit-malformed") { put("server", server.value) }
    }

    override fun onCrashReports() = tellOthers()
}
