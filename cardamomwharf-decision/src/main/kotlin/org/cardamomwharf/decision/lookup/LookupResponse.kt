/*
 * What a look-up answers, and the view that it is answered from. The view is immutable and is replaced as a whole, so
 * look-ups need no lock, no store and no peer.
 */
package org.cardamomwharf.decision.lookup

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.shift.RegionSplit

/** Represents one entry instance of a ranking. */
@Serializable
public data class RankedInstance(
    public val instance: InstanceName,
    public val incarnation: Incarnation,
    public val zone: ZoneName,
    public val address: SocketAddress,
)

/** Represents the answer to a look-up; the first instance is the first choice. */
@Serializable
public data class LookupResponse(
    public val service: ServiceName,
    public val documentVersion: DocumentVersion,
    public val cacheTtlMs: Long,
    public val instances: List<RankedInstance>,
)

/** Represents an entry instance that a look-up may name. */
public data class LookupCandidate(public val member: Member, public val loads: List<ServiceLoad>)

/**
 * Represents all that look-ups are answered from.
 *
 * @param home region of the answering instance; [splits] count for clients of this region.
 */
public data class LookupView(
    public val index: DocumentIndex,
    public val version: DocumentVersion,
    public val home: RegionName,
    public val candidates: List<LookupCandidate>,
    public val splits: Map<ServiceName, RegionSplit>,
    public val drained: Set<DrainedPool>,
)

/** Represents a zone in which a service gets no new work. */
public data class DrainedPool(public val service: ServiceName, public val zone: ZoneName)
