/*
 * Generates the benchmark fleet: a document, the peers of one zone and the summaries of the other zones.
 */
package org.cardamomwharf.bench.paths

import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Delays
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Link
import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.core.document.Partner
import org.cardamomwharf.core.document.Pool
import org.cardamomwharf.core.document.Region
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.EntryState
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.membership.Heartbeat
import org.cardamomwharf.decision.membership.ListedInstance
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.membership.SummaryMember
import org.cardamomwharf.decision.membership.ZoneSummary
import org.cardamomwharf.decision.newEntryState
import org.cardamomwharf.decision.servers.ListedServer
import org.cardamomwharf.decision.step

private const val REGIONS = 5
private const val ZONES_PER_REGION = 3
private const val SERVICES = 3
private const val SUMMARY_MEMBERS = 4
private const val SLOTS = 8
private const val CAP = 1_000_000_000L
private const val JOIN_STEPS = 10
private const val STEP_MS = 500L
private const val SERVICE_MS = 10L
private const val RESPONSE_BYTES = 4_096L
private const val TTL_MS = 5_000L
private const val PORT = 8_000
private const val ZONE_DELAY_MS = 1.5
private const val REGION_DELAY_MS = 12.0
private const val CLIENT_DELAY_MS = 1.0
private val address = SocketAddress("10.0.0.1", PORT)
internal val zones: List<ZoneName> =
    (1..REGIONS).flatMap { region -> (1..ZONES_PER_REGION).map { ZoneName("zone-$region-$it") } }
private val services = (1..SERVICES).map { ServiceName("service-$it") }

/** The current time of the sample fleet. */
public const val SAMPLE_NOW_MS: Long = 100_000

/** Returns a document with 5 regions and 15 zones. */
public fun sampleDocument(): EnvironmentDocument = EnvironmentDocument(
    deployment = "sample",
    objective = Objective.LATENCY,
    partners = listOf(Partner(PartnerName("one"), CAP, CAP)),
    regions = (1..REGIONS).map { region ->
        val regionZones = (1..ZONES_PER_REGION).map { ZoneName("zone-$region-$it") }
        Region(RegionName("region-$region"), PartnerName("one"), regionZones)
    },
    delays = Delays(ZONE_DELAY_MS, REGION_DELAY_MS, CLIENT_DELAY_MS),
    links = (1..REGIONS).flatMap { from -> (1..REGIONS).filter { it != from }.map { createLink(from, it) } },
    services = services.map { name ->
        Service(name, true, 1, SERVICE_MS, RESPONSE_BYTES, TTL_MS, zones.map { Pool(it, 2, SLOTS, SLOTS) })
    },
    clientBlocks = emptyList(),
)

private fun createLink(from: Int, to: Int) = Link(RegionName("region-$from"), RegionName("region-$to"), CAP)

/** Returns the member [number] of the first zone. */
public fun sampleMember(number: Int, zone: ZoneName = zones.first()): Member =
    Member(InstanceName("${zone.value}-$number"), Incarnation(1), zone, address, address)

/** Returns the heartbeat [sequence] of the member [number]. */
public fun sampleHeartbeat(number: Int, sequence: Long): Heartbeat = Heartbeat(
    sender = sampleMember(number),
    sequence = sequence,
    isLeaving = false,
    isJoining = false,
    liveViewHash = 1,
    settledViewHash = 1,
    documentVersion = DocumentVersion(1),
    loads = services.map { ServiceLoad(it, SLOTS, SLOTS, 0) },
    capEpoch = CapEpoch.FIRST,
)

/** Returns the summary of a zone. */
public fun sampleSummary(zone: ZoneName): ZoneSummary {
    val loads = services.map { ServiceLoad(it, SLOTS, SLOTS, 0) }
    val members = (1..SUMMARY_MEMBERS).map { SummaryMember(sampleMember(it, zone), isLeaving = false, loads) }
    return ZoneSummary(zone, 1, DocumentVersion(1), members, loads, CapEpoch.FIRST)
}

/** Returns all zones except that of the measured instance. */
public fun otherZones(): List<ZoneName> = zones.drop(1)

/** Returns the state of an instance that has joined a zone with [peers] peers and has a summary of each other zone. */
public fun sampleState(peers: Int): EntryState {
    val self = sampleMember(0)
    val startMs = SAMPLE_NOW_MS - JOIN_STEPS * STEP_MS
    val listed = (0..peers).map { sampleMember(it) }.map { ListedInstance(it.name, it.zone, address, address) } +
        otherZones().flatMap { zone -> (1..2).map { listedIn(zone, it) } }
    val servers = services.flatMap { service ->
        (1..2).map { ListedServer(ServerName("${service.value}-$it"), service, zones.first(), address) }
    }
    val initialEvents = listOf(
        EntryEvent.DocumentFetched(DocumentHead(DocumentVersion(1), "1"), sampleDocument()),
        EntryEvent.PlatformListRead(listed, servers),
    )
    var state = newEntryState(self, MembershipSettings(), EntryLimits(), startMs)
    initialEvents.forEach { state = step(state, it, startMs).state }
    for (number in 1..JOIN_STEPS) {
        val nowMs = startMs + number * STEP_MS
        for (peer in 1..peers) {
            val heartbeat = sampleHeartbeat(peer, number.toLong())
            state = applyEvent(state, EntryEvent.HeartbeatReceived(heartbeat), nowMs)
        }
        otherZones().forEach { state = applyEvent(state, EntryEvent.SummaryReceived(sampleSummary(it), true), nowMs) }
        state = applyEvent(state, EntryEvent.Tick(0), nowMs)
    }
    return state
}

private fun listedIn(zone: ZoneName, number: Int) =
    ListedInstance(sampleMember(number, zone).name, zone, address, address)

private fun applyEvent(state: EntryState, event: EntryEvent, nowMs: Long): EntryState = step(state, event, nowMs).state
