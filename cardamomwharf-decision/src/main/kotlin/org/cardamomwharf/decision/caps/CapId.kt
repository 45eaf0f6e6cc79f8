/*
 * Names of the caps that traffic between regions is charged to.
 */
package org.cardamomwharf.decision.caps

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.RegionName

/** Represents a cap of the document. */
@Serializable
public sealed interface CapId {
    /** Represents the bytes in one direction of a link. */
    @Serializable
    public data class LinkBytes(public val from: RegionName, public val to: RegionName) : CapId

    /** Represents requests that other partners' regions hand over to a partner. */
    @Serializable
    public data class PartnerRequests(public val partner: PartnerName, public val path: PartnerPath) : CapId

    /** Represents bytes of requests that other partners' regions hand over to a partner. */
    @Serializable
    public data class PartnerBytes(public val partner: PartnerName, public val path: PartnerPath) : CapId
}

/** Represents how traffic reaches a partner: handed over by an entry instance, or sent by look-up. */
@Serializable
public enum class PartnerPath { HAND_OVER, LOOK_UP }
