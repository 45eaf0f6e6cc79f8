/*
 * The environment document that operators submit, try and promote. It defines where each service may be served, the
 * links and caps between regions, the weights agreed between partners, and the zone of each client block. All parts are
 * immutable; field names end in their unit.
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
 * @param stoppedZones zones whose instances operators have stopped; a raise of cap shares doesn't wait for them.
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

/** Represents the goal that takes precedence when both can't be met. */
@Serializable
public enum class Objective {
    /** Serve near the client as long as the deadline allows. */
    LATENCY,

    /** Serve where the most slots and link shares are free. */
    HEADROOM,
}

/**
 * Represents a partner with the caps on the traffic that regions of other partners may shift to its regions.
 *
 * @param inboundRequestsPerSecond cap on the requests from regions of other partners.
 * @param inboundBytesPerSecond cap on the request and response bytes of these requests.
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

/** Represents the one-way network latencies in milliseconds. */
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
 * @param weight priority under load; requests of services with smaller weights are refused first.
 * @param expectedServiceMs usual processing time of one request at a backend server.
 * @param expectedResponseBytes usual response size, deducted from the link shares on admission.
 * @param cacheTtlMs time for which callers may cache a lookup response.
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

/** Represents a range of client addresses in CIDR notation and the zone nearest to it. */
@Serializable
public data class ClientBlock(public val cidr: String, public val zone: ZoneName)

/**
 * Represents a planned drain: the zone gets no new requests of the service, or of any service when none is named.
 *
 * @param startsAtEpochSeconds wall-clock start, 0 for an immediate start.
 * @param endsAtEpochSeconds wall-clock end, 0 for a drain without an end.
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
