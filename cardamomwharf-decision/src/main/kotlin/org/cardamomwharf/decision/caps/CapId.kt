/*
 * Identifiers of the caps that limit traffic between regions.
 */
package org.cardamomwharf.decision.caps

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.RegionName

/** Represents a cap of the document. */
@Serializable
public sealed interface CapId {
    /** Represents the bytes per second in one direction of a link between regions. */
    @Serializable
    public data class LinkBytes(public val from: RegionName, public val to: RegionName) : CapId

    /** Represents the requests per second that a partner gets by [path]. */
    @Serializable
    public data class PartnerRequests(public val partner: PartnerName, public val path: PartnerPath) : CapId

    /** Represents the bytes per second of requests that a partner gets by [path]. */
    @Serializable
    public data class PartnerBytes(public val partner: PartnerName, public val path: PartnerPath) : CapId
}

/** Represents how traffic reaches a partner: handed over by another partner's instance, or directed by look-up. */
@Serializable
public enum class PartnerPath { HAND_OVER, LOOK_UP }
