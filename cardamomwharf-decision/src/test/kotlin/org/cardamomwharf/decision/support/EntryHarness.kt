/*
 * Runs the decisions of one entry instance in tests, with a virtual clock and a record of all effects.
 */
package org.cardamomwharf.decision.support

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.EntryLimits
import org.cardamomwharf.decision.EntryState
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.membership.ListedInstance
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.decision.newEntryState
import org.cardamomwharf.decision.requests.RequestOrigin
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.decision.servers.ListedServer
import org.cardamomwharf.decision.step

const val START_MS = 1_000_000L

fun createMember(name: String, zone: ZoneName = NORTH_A, incarnation: Long = 7): Member = Member(
    InstanceName(name),
    Incarnation(incarnation),
    zone,
    SocketAddress("127.0.0.1", 8_000),
    SocketAddress("127.0.0.1", 8_100),
)

fun createListedInstance(member: Member): ListedInstance =
    ListedInstance(member.name, member.zone, member.callerAddress, member.peerAddress)

fun createServers(zone: ZoneName): List<ListedServer> = listOf(READS, BOOKINGS).flatMap { service ->
    (1..2).map { number ->
        val name = ServerName("${service.value}-${zone.value}-$number")
        ListedServer(name, service, zone, SocketAddress("127.0.0.2", 9_000 + number))
    }
}

fun createRequest(
    id: Long,
    service: ServiceName = READS,
    deadlineAtMs: Long = START_MS + 60_000,
    key: String? = if (service == BOOKINGS) "key-$id" else null,
    binding: Binding? = null,
): RequestSpec = RequestSpec(
    id = RequestId(id),
    service = service,
    origin = RequestOrigin.CALLER,
    isIdempotent = service == READS,
    requestBytes = 100,
    deadlineAtMs = deadlineAtMs,
    clientZone = NORTH_A,
    key = key,
    binding = binding,
    fingerprint = "print",
)

fun createHandedOverRequest(id: Long, service: ServiceName): RequestSpec =
    createRequest(id, service).copy(origin = RequestOrigin.PEER, attempt = AttemptId("other-$id"))

class EntryHarness(
    val member: Member = createMember("e1"),
    limits: EntryLimits = EntryLimits(),
    settings: MembershipSettings = MembershipSettings(),
) {
    var state: EntryState = newEntryState(member, settings, limits, START_MS)
    var nowMs: Long = START_MS
    val effects: MutableList<EntryEffect> = mutableListOf()

    fun handle(event: EntryEvent): List<EntryEffect> {
        val step = step(state, event, nowMs)
        state = step.state
        effects += step.effects
        return step.effects
    }

    fun advance(ms: Long): List<EntryEffect> {
        nowMs += ms
        return handle(EntryEvent.Tick(epochSeconds = nowMs / 1_000))
    }

    /** Advances the time in steps that are short enough to keep the lease. */
    fun runFor(ms: Long): List<EntryEffect> = (1..ms / 500).flatMap { advance(500) }

    fun adopt(document: EnvironmentDocument, version: Long = 1): List<EntryEffect> =
        handle(EntryEvent.DocumentFetched(DocumentHead(DocumentVersion(version), "hash-$version"), document))

    fun submit(spec: RequestSpec): List<EntryEffect> = handle(EntryEvent.RequestArrived(spec))

    fun responses(): List<EntryEffect.Respond> = effects.filterIsInstance<EntryEffect.Respond>()

    fun findResponse(id: Long): EntryEffect.Respond? = responses().firstOrNull { it.request == RequestId(id) }
}

/** Returns an instance that is alone in its zone, has a document and owns all servers of its zone. */
fun readyEntry(
    document: EnvironmentDocument = sampleDocument(),
    limits: EntryLimits = EntryLimits(),
): EntryHarness {
    val entry = EntryHarness(limits = limits)
    entry.adopt(document)
    entry.handle(EntryEvent.PlatformListRead(listOf(createListedInstance(entry.member)), createServers(NORTH_A)))
    entry.runFor(4_000)
    entry.effects.clear()
    return entry
}

inline fun <reified T : EntryEffect> List<EntryEffect>.only(): T = filterIsInstance<T>().single()
