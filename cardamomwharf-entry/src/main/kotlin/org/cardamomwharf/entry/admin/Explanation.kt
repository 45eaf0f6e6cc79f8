/*
 * Explains the ranking of instances for a client: the shift that chose the region, and the rank of every candidate.
 */
package org.cardamomwharf.entry.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.lookup.LookupView
import org.cardamomwharf.decision.lookup.rank
import org.cardamomwharf.decision.lookup.rankAll

/** Represents the explanation of the ranking for one client. */
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

/** Represents one candidate of the ranking. */
@Serializable
public data class PlacementReport(
    public val instance: String,
    public val zone: String,
    public val tier: String,
    public val freeSlots: Int,
    @SerialName("isAnswered")
    public val isInLookupResponse: Boolean,
)

/** Returns the explanation of the ranking for [service] and the client at [address] in [zone]. */
public fun explain(view: LookupView, service: Service, zone: ZoneName, address: String): Explanation {
    val returnedNames = view.rank(service, zone, address).map { it.candidate.member.name }.toSet()
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
                isInLookupResponse = member.name in returnedNames,
            )
        },
    )
}
