/*
 * Decides when other instances are told at once of the requests of teams. The sums of a zone go to other zones every
 * second, which is too late for a team whose requests rise in all zones.
 */
package org.cardamomwharf.steering.teams.limits

/** Fraction of the one last sent at which the other instances are told at once. */
private const val NEWS_RATIO = 0.6

/** Time after which the requests of a team that began to be limited are known well enough to wait for heartbeats. */
private const val ONSET_MS = 2_000L

/** Minimum interval of messages sent at once. */
private const val NEWS_INTERVAL_MS = 200L

/** Minimum interval at which the sums are compared with those last sent. */
private const val CHECK_INTERVAL_MS = 50L

internal class DemandNews(private val table: DemandTable) {
    private var sentDemand: Map<Int, TeamDemand> = emptyMap()
    private val sentFractions = HashMap<Int, Double>()
    private var newsAtMs = Long.MIN_VALUE / 2
    private var checkedAtMs = Long.MIN_VALUE / 2

    /** Records that the own zone's sums were sent. */
    fun recordSent(ownZone: ZoneDemand, shares: Collection<TeamShare>, isToOtherZones: Boolean) {
        shares.forEach { sentFractions[it.teamId] = it.fraction }
        if (isToOtherZones) sentDemand = ownZone.teams.associateBy { it.teamId }
    }

    /** Returns true when the sums may be compared with those last sent. */
    fun isCheckDue(nowMs: Long): Boolean {
        val isDue = nowMs - newsAtMs >= NEWS_INTERVAL_MS && nowMs - checkedAtMs >= CHECK_INTERVAL_MS
        if (isDue) checkedAtMs = nowMs
        return isDue
    }

    /** Returns true when others have to know the requests in the own zone at once. */
    fun isNews(ownZone: ZoneDemand, shares: Collection<TeamShare>, nowMs: Long): Boolean {
        val now = ownZone.teams.associateBy { it.teamId }
        val isNews = shares.any { isLimitNews(it, nowMs) || isDemandNews(it, now[it.teamId]) }
        if (isNews) newsAtMs = nowMs
        return isNews
    }

    private fun isLimitNews(share: TeamShare, nowMs: Long): Boolean =
        share.fraction < NEWS_RATIO * (sentFractions[share.teamId] ?: 1.0) ||
            (share.fraction < NEWS_RATIO && nowMs - share.limitedAtMs < ONSET_MS)

    /** Returns true when the limit would be reached if the requests in all zones rose like those of the own zone. */
    private fun isDemandNews(share: TeamShare, now: TeamDemand?): Boolean {
        val sentPerSecond = (sentDemand[share.teamId]?.asked ?: 0) * DEMAND_WINDOWS_PER_S
        val beforePerSecond = maxOf(sentPerSecond, table.usualInOwnZone(share.teamId))
        val nowPerSecond = (now?.asked ?: 0) * DEMAND_WINDOWS_PER_S
        val expected = share.askedPerSecond + (nowPerSecond - beforePerSecond) * table.zoneCount
        return expected > share.limit.requestsPerSecond && isRise(beforePerSecond, nowPerSecond)
    }
}
