/*
 * The backend servers that may get a request, in the order that its key gives them in each region.
 */
package org.cardamomwharf.steering.placement

import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.combineHashes
import org.cardamomwharf.core.hash64
import org.cardamomwharf.steering.Distance
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.limits.Sharers
import org.cardamomwharf.steering.requests.RequestSpec
import org.cardamomwharf.steering.servers.KnownServer
import org.cardamomwharf.steering.servers.ServerBook

/** Multiple of the cold time after which a server that owes answers and gives none is left alone. */
private const val SILENCE_FACTOR = 2.5

/** Shortest silence that counts. */
private const val LEAST_SILENCE_MS = 700L

internal class Candidates(
    private val servers: ServerBook,
    private val routes: ActiveRoutes,
    private val sharers: Sharers,
    private val terms: SteeringParameters,
) {
    fun find(name: ServerName): KnownServer? = servers.find(name)

    /** Returns the servers that are open and can be trusted, cold ones included. */
    fun usable(spec: RequestSpec, excluded: Set<ServerName>, work: WorkEstimates, nowMs: Long): List<KnownServer> =
        servers.serversOf(spec.service).filter { it.record.name !in excluded && isUsable(it, spec, work, nowMs) }

    /** Returns true when [server] bears one more request now. */
    fun isReady(server: KnownServer, nowMs: Long): Boolean =
        !server.isCold(nowMs) || server.coldAllowance.isOpen(nowMs, coldRate(server))

    /** Notes that a request goes to [server] now. */
    fun noteSent(server: KnownServer, nowMs: Long) {
        server.noteSent(nowMs)
        if (server.isCold(nowMs)) server.coldAllowance.noteSent(nowMs, coldRate(server))
    }

    /**
     * Returns those of [ready] that are worth rating, by region, in the order of the key: the first choices, which
     * alone are likely to know the key.
     */
    fun ordered(spec: RequestSpec, ready: List<KnownServer>): Collection<List<KnownServer>> {
        val keyHash = hash64("${spec.service.value}/${spec.affinityKey ?: spec.id}")
        val hasOwn = ready.any { it.distance != Distance.OTHER_REGION }
        return ready.groupBy { it.region }.values.map { group ->
            val isOther = group.first().distance == Distance.OTHER_REGION
            firstChoices(group, keyHash, if (isOther && hasOwn) terms.choices.otherRegion else terms.choices.ownRegion)
        }
    }

    /** Returns the [count] servers of [group] that come first in the order of the key. */
    private fun firstChoices(group: List<KnownServer>, keyHash: Long, count: Int): List<KnownServer> {
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

    private fun isUsable(server: KnownServer, spec: RequestSpec, work: WorkEstimates, nowMs: Long): Boolean {
        val allowed = spec.route.allowedRegions
        val usualMs = work.coldMs * server.trust.slowness(nowMs)
        val silenceMs = maxOf(LEAST_SILENCE_MS, (SILENCE_FACTOR * usualMs).toLong())
        return servers.isOpen(server) &&
            (allowed.isEmpty() || server.region in allowed) &&
            server.trust.isOpen(server.load.inFlight, nowMs) &&
            server.load.silentForMs(nowMs) < silenceMs
    }

    private fun coldRate(server: KnownServer): Double {
        val bearable = routes.termsOf(server.record.service)?.coldPerSecond ?: 0.0
        return sharers.coldPartPerSecond(server, bearable * terms.coldUsableShare)
    }
}
