/*
 * Selects the backend servers that may receive a request, ranked by its key within each region.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.combineHashes
import org.cardamomwharf.core.hash64
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.desired.TransferKind
import org.cardamomwharf.steering.limits.LimitSharing
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer
import org.cardamomwharf.steering.servers.ServerRegistry

/** Multiple of the expected cold time without any response after which a server with pending requests is skipped. */
private const val UNANSWERED_FACTOR = 2.5

/** Number of servers of a zone from which on it caches keys on its own; a single one would get all keys of the zone. */
private const val MIN_ZONE_SERVERS = 2

/** Minimum time without a response before a server is skipped. */
private const val MIN_UNANSWERED_MS = 700L

internal class CandidateServers(
    private val servers: ServerRegistry,
    private val routes: ActiveRoutes,
    private val limitSharing: LimitSharing,
    private val parameters: SteeringParameters,
) {
    fun find(name: ServerName): KnownServer? = servers.find(name)

    /** Returns the servers that are eligible and healthy, including cold ones. */
    fun findUsable(
        spec: RequestSpec,
        excluded: Set<ServerName>,
        estimate: ProcessingTimeEstimate,
        nowMs: Long,
    ): List<KnownServer> = servers.findByService(spec.service)
        .filter { it.record.name !in excluded && isUsable(it, spec, estimate, nowMs) }

    /** Returns true when [server] can receive one more request now, given the rate limit of cold servers. */
    fun isWithinColdRate(server: KnownServer, nowMs: Long): Boolean =
        !server.isCold(nowMs) || server.coldRateLimiter.isAllowed(nowMs, coldQuotaPerSecond(server))

    /** Records that a request is sent to [server] now. */
    fun recordRequestSent(server: KnownServer, nowMs: Long) {
        server.recordRequestSent(nowMs)
        server.announcedLimit?.recordRequest(nowMs)
        if (server.isCold(nowMs)) server.coldRateLimiter.recordRequest(nowMs, coldQuotaPerSecond(server))
    }

    /**
     * Returns the servers of [ready] to score, in groups that are each ordered by rank for the key. Only the
     * highest-ranked servers are returned, because only they are likely to have the key cached. The groups are the
     * regions; for large bodies the own zone is a group of its own if it has several servers, so that they have one
     * without traffic between zones.
     */
    fun selectByGroup(spec: RequestSpec, ready: List<KnownServer>): Collection<List<KnownServer>> {
        val keyHash = hash64("${spec.service.value}/${spec.affinityKey ?: spec.id}")
        val limits = parameters.candidateLimits
        val hasOwnRegion = ready.any { it.distance != Distance.OTHER_REGION }
        val hasZoneGroup = spec.route.transfer != TransferKind.SMALL &&
            ready.count { it.distance == Distance.SAME_ZONE } >= MIN_ZONE_SERVERS
        val groups = ready.groupBy { it.region to (hasZoneGroup && it.distance == Distance.SAME_ZONE) }
        return groups.values.map { group ->
            val isOtherRegion = group.first().distance == Distance.OTHER_REGION
            val count = if (isOtherRegion && hasOwnRegion) limits.otherRegionServers else limits.ownRegionServers
            selectFirstChoices(group, keyHash, count)
        }
    }

    /** Returns the [count] highest-ranked servers of [group] for the key. */
    private fun selectFirstChoices(group: List<KnownServer>, keyHash: Long, count: Int): List<KnownServer> {
        val ranks = LongArray(group.size) { combineHashes(keyHash, group[it].nameHash) }
        val indices = group.indices.toMutableList()
        val chosen = ArrayList<KnownServer>()
        while (chosen.size < count && indices.isNotEmpty()) {
            val best = indices.maxBy { ranks[it] }
            indices.remove(best)
            chosen.add(group[best])
        }
        return chosen
    }

    private fun isUsable(
        server: KnownServer,
        spec: RequestSpec,
        estimate: ProcessingTimeEstimate,
        nowMs: Long,
    ): Boolean {
        val expectedColdMs = estimate.coldMs * server.health.slowness(nowMs) * server.load.slowdown(nowMs)
        val maxUnansweredMs = maxOf(MIN_UNANSWERED_MS, (UNANSWERED_FACTOR * expectedColdMs).toLong())
        return servers.isEligible(server) &&
            spec.isAllowedIn(server.region) &&
            server.health.isAvailable(server.load.inFlight, nowMs) &&
            server.load.unansweredForMs(nowMs) < maxUnansweredMs
    }

    private fun coldQuotaPerSecond(server: KnownServer): Double {
        val maxPerSecond = routes.findServiceTerms(server.record.service)?.coldPerSecond ?: 0.0
        return limitSharing.coldQuotaPerSecond(server, maxPerSecond * parameters.usableColdRateShare)
    }
}
