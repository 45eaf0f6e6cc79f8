/*
 * Asks one instance again and again for the route that the newest version added, and notes when a route that was there
 * is gone, or one that has to be there isn't.
 */
package org.cardamomwharf.soak

import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import org.cardamomwharf.http.startJettyHttpClient

private const val PROBE_PAUSE_MS = 100L
private const val OK = 200
private const val NOT_FOUND = 404

/** Time in which a change has to be in force; the users name 2.5 s. */
private const val APPLY_BOUND_MS = 2_500L

/** Time for which an instance must be undisturbed; the users name 4 s. */
private const val CALM_MS = 4_000L

internal class VersionProbe(
    private val world: SoakWorld,
    private val record: SoakRecord,
    private val gateway: GatewayHandle,
) {
    private val caller = startJettyHttpClient(HttpClientSettings("probe-${gateway.name}", maxThreads = 4))
    private var incarnation = 0
    private var seen = 0
    private var newest = 0
    private var newestSinceMs = 0L
    private var count = 0

    /** Asks until [isOver]. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            probe()
            Thread.sleep(PROBE_PAUSE_MS)
        }
        caller.close()
    }

    private fun probe() {
        val life = gateway.incarnation.get()
        if (life != incarnation) seen = 0
        incarnation = life
        val probed = world.newestVersion
        if (probed != newest) newestSinceMs = world.clock.nowMs()
        newest = probed
        val sentAtMs = world.clock.nowMs()
        val end = caller.call(callOf(gateway, "/v$probed/", SoakCall("p-${gateway.name}-${count++}", "p")))
        val status = (end as? HttpResult.Completed)?.response?.status ?: 0
        if (gateway.incarnation.get() == life) judge(probed, status, sentAtMs)
    }

    private fun judge(probed: Int, status: Int, sentAtMs: Long) {
        if (status == OK) seen = maxOf(seen, probed)
        val isMissing = status == NOT_FOUND && world.isKept(probed)
        val ageMs = sentAtMs - newestSinceMs
        if (isMissing && probed <= seen) record.regressions.add("${gateway.name} lost /v$probed/ after $seen")
        if (isMissing && ageMs > APPLY_BOUND_MS && isCalm(sentAtMs)) {
            record.regressions.add("${gateway.name} has no /v$probed/ $ageMs ms after it")
        }
    }

    private fun isCalm(sentAtMs: Long): Boolean =
        listOf(gateway.name, SoakRecord.STORE).all { record.isCalm(it, newestSinceMs - CALM_MS, sentAtMs) }
}
