/*
 * Counts the requests of a team at this instance in the last interval of heartbeats, in short steps. The step that is
 * still running doesn't count, so that the counts are those of a whole interval.
 */
package org.cardamomwharf.steering.teams.limits

private const val STEP_MS = 100L
private const val STEPS = (DEMAND_WINDOW_MS / STEP_MS).toInt()

internal class DemandCounter {
    private val asked = IntArray(STEPS + 1)
    private val sent = IntArray(STEPS + 1)
    private var step = 0L

    /** Records a request that was sent, or refused because of the limit. */
    fun record(isSent: Boolean, nowMs: Long) {
        val index = advance(nowMs)
        asked[index]++
        if (isSent) sent[index]++
    }

    /** Records that a request that was sent didn't run. */
    fun recordReturned(nowMs: Long) {
        val index = advance(nowMs)
        asked[index]--
        sent[index]--
    }

    /** Returns the requests of the team [teamId] in the last interval. */
    fun demand(teamId: Int, nowMs: Long): TeamDemand {
        val running = advance(nowMs)
        return TeamDemand(
            teamId,
            asked = (asked.sum() - asked[running]).coerceAtLeast(0),
            sent = (sent.sum() - sent[running]).coerceAtLeast(0),
        )
    }

    private fun advance(nowMs: Long): Int {
        val current = nowMs / STEP_MS
        val from = maxOf(step + 1, current - STEPS)
        for (passed in from..current) {
            val index = (passed % asked.size).toInt()
            asked[index] = 0
            sent[index] = 0
        }
        step = maxOf(step, current)
        return (step % asked.size).toInt()
    }
}
