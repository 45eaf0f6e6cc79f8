/*
 * Says why a client gets its ranking: the split that chose the region, and the place of every candidate.
 */
package org.cardamomwharf.entry.admin

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.lookup.LookupView
import org.cardamomwharf.decision.lookup.rank
import org.cardamomwharf.decision.lookup.rankAll

/** Represents why a client gets its ranking. */
@Serializable
public data class Explanation(
    public val service: String,
    public val client: String,
    public val clientZone: String,
    public val objective: String,
    public val documentVersion: Long,
    public val shiftedPermille: Int,
    public val shiftTargets: Map<String, Int>,
    public val placements: List<PlacementReport>,
)

/** Represents the place of one candidate, best first. */
@Serializable
public data class PlacementReport(
    public val instance: String,
    public val zone: String,
    public val tier: String,
    public val freeSlots: Int,
    public val isAnswered: Boolean,
)

/** Returns why the client at [address] in [zone] gets its ranking for [service]. */
public fun explain(view: LookupView, service: Service, zone: ZoneName, address: String): Explanation {
    val answered = view.rank(service, zone, address).map { it.candidate.member.name }.toSet()
    val split = view.splits[service.name]
    return Explanation(
        service = service.name.value,
        client = address,
        clientZone = zone.value,
        objective = view.index.document.objective.name.lowercase(),
        documentVersion = view.version.value,
        shiftedPermille = split?.shiftedPermille ?: 0,
        shiftTargets = split?.targets.orEmpty().mapKeys { it.key.value },
        placements = view.rankAll(service, zone, address).map { placement ->
            val member = placement.candidate.member
            PlacementReport(
                instance = member.name.value,
                zone = member.zone.value,
                tier = placement.tier.name.lowercase().replace('_', '-'),
                freeSlots = placement.freeSlots,
                isAnswered = member.name in answered,
            )
        },
    )
}
