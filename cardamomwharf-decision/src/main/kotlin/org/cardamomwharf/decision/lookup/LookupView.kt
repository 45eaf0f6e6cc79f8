/*
 * The view from which look-ups are answered. It is immutable and replaced as a whole, so look-ups need no lock and no
 * calls to the store or to peers.
 */
package org.cardamomwharf.decision.lookup

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.shift.RegionSplit

/** Represents an entry instance that a look-up may return. */
public data class LookupCandidate(public val member: Member, public val loads: List<ServiceLoad>)

/**
 * Represents the immutable state from which look-ups are answered.
 *
 * @param home region of this instance; [splits] apply to clients of this region.
 */
public data class LookupView(
    public val index: DocumentIndex,
    public val version: DocumentVersion,
    public val home: RegionName,
    public val candidates: List<LookupCandidate>,
    public val splits: Map<ServiceName, RegionSplit>,
    public val drained: Set<DrainedPool>,
)

/** Represents the pool of a service in a zone, drained of new requests. */
public data class DrainedPool(public val service: ServiceName, public val zone: ZoneName)
