/*
 * The environment document is what operators submit, try and promote. It says where each service may be served, the
 * links and caps between regions, the weights that partners agreed, and which client blocks belong to which zone. All
 * parts are immutable; fields carry their unit as a suffix.
 */
package org.cardamomwharf.core.document

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

/**
 * Represents one whole environment document.
 *
 * @param stoppedZones zones whose instances operators have stopped; raised cap shares don't wait for them.
 */
@Serializable
public data class EnvironmentDocument(
    public val deployment: String,
    public val objective: Objective,
    public val partners: List<Partner>,
    public val regions: List<Region>,
    public val delays: Delays,
    public val links: List<Link>,
    public val services: List<Service>,
    public val clientBlocks: List<ClientBlock>,
    public val drains: List<Drain> = emptyList(),
    public val stoppedZones: List<ZoneName> = emptyList(),
    public val policy: Policy = Policy(),
)

/** Represents what the policy prefers where both can't be had. */
@Serializable
public enum class Objective {
    /** Serve near the client as long as the deadline allows. */
    LATENCY,

    /** Serve where most slots and link shares are free. */
    HEADROOM,
}

/**
 * Represents a partner with the caps on traffic that other partners' regions may shift to its regions.
 *
 * @param inboundRequestsPerSecond cap on requests from regions of other partners.
 * @param inboundBytesPerSecond cap on request and response bytes of those requests.
 */
@Serializable
public data class Partner(
    public val name: PartnerName,
    public val inboundRequestsPerSecond: Long,
    public val inboundBytesPerSecond: Long,
)

/** Represents a region with its availability zones. */
@Serializable
public data class Region(
    public val name: RegionName,
    public val partner: PartnerName,
    public val zones: List<ZoneName>,
)

/** Represents the one-way delays between places, in milliseconds. */
@Serializable
public data class Delays(
    public val betweenZonesMs: Double,
    public val betweenRegionsMs: Double,
    public val toClientsMs: Double,
)

/** Represents one direction of the link between two regions. */
@Serializable
public data class Link(
    public val from: RegionName,
    public val to: RegionName,
    public val capBytesPerSecond: Long,
)

/**
 * Represents a service.
 *
 * @param weight requests of a larger weight are refused later.
 * @param expectedServiceMs time that a backend server usually takes for one request.
 * @param expectedResponseBytes size of a usual response; link shares are charged with it on admission.
 * @param cacheTtlMs time that callers may keep a look-up answer.
 */
@Serializable
public data class Service(
    public val name: ServiceName,
    public val isIdempotent: Boolean,
    public val weight: Int,
    public val expectedServiceMs: Long,
    public val expectedResponseBytes: Long,
    public val cacheTtlMs: Long,
    public val pools: List<Pool>,
    public val regionWeights: List<RegionWeight> = emptyList(),
)

/** Represents the backend servers of a service in one availability zone. */
@Serializable
public data class Pool(
    public val zone: ZoneName,
    public val upstreams: Int,
    public val slotsPerUpstream: Int,
    public val connectionsPerUpstream: Int,
)

/** Represents the agreed weight of a region for traffic that leaves its own region. */
@Serializable
public data class RegionWeight(public val region: RegionName, public val weight: Int)

/** Represents a range of client addresses in CIDR notation and the zone that is nearest to it. */
@Serializable
public data class ClientBlock(public val cidr: String, public val zone: ZoneName)

/**
 * Represents a planned drain: the zone gets no new work of the service, or of any service when none is named.
 *
 * @param startsAtEpochSeconds wall-clock start, 0 for at once.
 * @param endsAtEpochSeconds wall-clock end, 0 for none.
 */
@Serializable
public data class Drain(
    public val zone: ZoneName,
    public val service: ServiceName? = null,
    public val startsAtEpochSeconds: Long = 0,
    public val endsAtEpochSeconds: Long = 0,
) {
    /** Returns true while the drain is in force. */
    public fun isActive(epochSeconds: Long): Boolean {
        val isEnded = endsAtEpochSeconds in 1..epochSeconds
        return startsAtEpochSeconds <= epochSeconds && !isEnded
    }
}
