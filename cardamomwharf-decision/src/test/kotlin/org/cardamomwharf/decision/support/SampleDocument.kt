/*
 * Defines a small document for tests: two regions of two partners with two zones each, one read service and one booking
 * service.
 */
package org.cardamomwharf.decision.support

import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Delays
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Link
import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.core.document.Partner
import org.cardamomwharf.core.document.Policy
import org.cardamomwharf.core.document.Pool
import org.cardamomwharf.core.document.Region
import org.cardamomwharf.core.document.Service

val READS = ServiceName("reads")
val BOOKINGS = ServiceName("bookings")
val NORTH = RegionName("north")
val SOUTH = RegionName("south")
val NORTH_A = ZoneName("north-a")
val NORTH_B = ZoneName("north-b")
val SOUTH_A = ZoneName("south-a")
val SOUTH_B = ZoneName("south-b")
val ALL_ZONES = listOf(NORTH_A, NORTH_B, SOUTH_A, SOUTH_B)

fun sampleDocument(
    linkBytesPerSecond: Long = 10_000_000,
    partnerRequestsPerSecond: Long = 10_000,
    slots: Int = 4,
    objective: Objective = Objective.LATENCY,
    policy: Policy = Policy(slowStartMs = 0),
): EnvironmentDocument = EnvironmentDocument(
    deployment = "sample",
    objective = objective,
    partners = listOf(
        Partner(PartnerName("one"), partnerRequestsPerSecond, partnerRequestsPerSecond * 100_000),
        Partner(PartnerName("two"), partnerRequestsPerSecond, partnerRequestsPerSecond * 100_000),
    ),
    regions = listOf(
        Region(NORTH, PartnerName("one"), listOf(NORTH_A, NORTH_B)),
        Region(SOUTH, PartnerName("two"), listOf(SOUTH_A, SOUTH_B)),
    ),
    delays = Delays(1.5, 35.0, 1.0),
    links = listOf(Link(NORTH, SOUTH, linkBytesPerSecond), Link(SOUTH, NORTH, linkBytesPerSecond)),
    services = listOf(sampleService(READS, slots), sampleService(BOOKINGS, slots)),
    clientBlocks = emptyList(),
    policy = policy,
)

private fun sampleService(name: ServiceName, slots: Int) = Service(
    name = name,
    isIdempotent = name == READS,
    weight = if (name == READS) 1 else 4,
    expectedServiceMs = 10,
    expectedResponseBytes = 1_000,
    cacheTtlMs = 1_000,
    pools = ALL_ZONES.map { Pool(it, 2, slots, slots * 10) },
)
