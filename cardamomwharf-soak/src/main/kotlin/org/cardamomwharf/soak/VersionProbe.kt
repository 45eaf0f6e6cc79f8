/*
 * Periodically requests the route that the newest version added from one instance, and records when a known route
 * disappears or a new route is missing after the time bound.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyHttpClient

private const val PROBE_PAUSE_MS = 100L
private const val OK = 200
private const val NOT_FOUND = 404

/** Time within which a change must be active; the requirement is 2.5 s. */
private const val APPLY_BOUND_MS = 2_500L

/** Time for which an instance must be undisturbed before time bounds apply; the requirement is 4 s. */
private const val UNDISTURBED_MS = 4_000L

internal class VersionProbe(
    private val cluster: SoakCluster,
    private val record: SoakRecord,
    private val gateway: GatewayProcess,
) {
    private val client = startJettyHttpClient(HttpClientSettings("probe-${gateway.name}", maxThreads = 4))
    private var incarnation = 0
    private var newestSeen = 0
    private var newest = 0
    private var newestSinceMs = 0L
    private var count = 0

    /** Probes the instance until [isStopped] returns true. */
    fun run(isStopped: () -> Boolean) {
        while (!isStopped()) {
            probe()
            Thread.sleep(PROBE_PAUSE_MS)
        }
        client.close()
    }

    private fun probe() {
        val currentIncarnation = gateway.incarnation.get()
        if (currentIncarnation != incarnation) newestSeen = 0
        incarnation = currentIncarnation
        val probed = cluster.newestVersion
        if (probed != newest) newestSinceMs = cluster.clock.nowMs()
        newest = probed
        val sentAtMs = cluster.clock.nowMs()
        val result = client.call(createCall(gateway, "/v$probed/", SoakRequest("p-${gateway.name}-${count++}", "p")))
        val status = (result as? HttpResult.Completed)?.response?.status ?: 0
        if (gateway.incarnation.get() == currentIncarnation) checkRoute(probed, status, sentAtMs)
    }

    private fun checkRoute(probed: Int, status: Int, sentAtMs: Long) {
        if (status == OK) newestSeen = maxOf(newestSeen, probed)
        val isMissing = status == NOT_FOUND && cluster.hasRoute(probed)
        val ageMs = sentAtMs - newestSinceMs
        if (isMissing && probed <= newestSeen) {
            record.regressions.add("${gateway.name} lost /v$probed/ after $newestSeen")
        }
        if (isMissing && ageMs > APPLY_BOUND_MS && isUndisturbed(sentAtMs)) {
            record.regressions.add("${gateway.name} has no /v$probed/ $ageMs ms after it")
        }
    }

    private fun isUndisturbed(sentAtMs: Long): Boolean =
        listOf(gateway.name, SoakRecord.STORE)
            .all { record.isUndisturbed(it, newestSinceMs - UNDISTURBED_MS, sentAtMs) }
}
