/*
 * Logs spillover to other regions, one line per second for each of the busiest routes. The lines of all
 * instances of a region together show how fast the regions that serve its requests change, and why.
 */
package org.cardamomwharf.gateway.logs

import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.cardamomwharf.forward.proxy.SynchronizedSteering

/** Maximum number of routes logged per second; users have fewer that many callers use. */
private const val MAX_ROUTES = 12

internal class SpilloverLog(private val steering: SynchronizedSteering, private val log: DecisionLog) {
    /** Logs the attempts since the last call. */
    fun write() {
        val reports = steering.withLock { decisions, _ ->
            decisions.spillover.reports().also { decisions.spillover.clearCounts() }
        }
        val used = reports.filter { it.attemptCounts.isNotEmpty() }
        used.sortedByDescending { it.attemptCounts.values.sum() }.take(MAX_ROUTES).forEach { report ->
            log.event("lending") {
                put("route", report.route)
                put("service", report.service.value)
                put("share", report.share)
                put("wanted", report.targetShare)
                putJsonObject("sends") {
                    report.attemptCounts.forEach { (to, count) -> put("${to.region?.value}/${to.choice.code}", count) }
                }
            }
        }
    }
}
