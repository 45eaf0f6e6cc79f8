/*
 * Instances that confirm the keys of teams through the store and through each other's heartbeats, in virtual time.
 * Datagrams are delayed and lost; calls to the store wait, hang and fail; an instance can be paused or cut off.
 */
package org.cardamomwharf.gateway.support

import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.TeamName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.SteeringParameters
import org.cardamomwharf.steering.desired.CallerLimits
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.desired.Route
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TeamKey
import org.cardamomwharf.steering.desired.WeightedService
import org.cardamomwharf.steering.instances.HeartbeatMessage
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.limits.RetryBudgetParameters
import org.cardamomwharf.steering.teams.Caller
import org.cardamomwharf.steering.teams.TeamParameters
import kotlin.random.Random

private const val STEP_MS = 25L
private const val MAX_DELAY_MS = 50L
private val service = ServiceName("reads")
private val keyRoute =
    Route("r", "h", "/r/", true, listOf(WeightedService(service, 1.0)), 1_000, 500, 1, 2, true, emptySet())

/** Bound for withdrawn keys in these tests. */
internal const val MAX_KEY_AGE_MS = 5_000L
internal val keyFleetZones =
    listOf("a1", "a2", "b1", "b2", "c1", "c2").associate { ZoneName(it) to RegionName(it.take(1)) }
internal val keyFleetParameters = SteeringParameters(
    RetryBudgetParameters(ratio = 0.2, allowance = 60, windowMs = 10_000),
    teams = TeamParameters(MAX_KEY_AGE_MS),
)

/** Runs [count] instances in six zones; one in [lossOneIn] datagrams is lost. */
internal class KeyFleet(count: Int, seed: Int, private val lossOneIn: Int? = null) {
    val random = Random(seed)
    val history = ConfigurationHistory()
    val members = (0 until count).map { KeyFleetMember(this, createRecord(it)) }.toMutableList()
    private val datagrams = ArrayList<Datagram>()
    private var version = 0L

    /** Time of the acknowledgement of the configuration that withdrew each key from its team. */
    private val withdrawnAtMs = HashMap<Pair<String, String>, Long>()
    private var holders = emptyMap<String, String>()

    /** Time that the store takes to answer, after it has made the answer. */
    var storeDelayMs = 5L
    var storeCalls = 0

    /** Number of calls to other instances. */
    var peerCalls = 0

    /** Current time. */
    var nowMs = 1_000_000L
        private set

    /** Greatest age of a proof seen so far at an instance that isn't paused. */
    var maxProofAgeMs = 0L

    /** Requests with a valid key that were refused since the last [clearCounts]. */
    var refused = 0
        private set

    /** Activates a configuration in which each key belongs to the team that [teamOfKey] names. */
    fun configure(teamOfKey: Map<String, String>) {
        (holders - teamOfKey.filter { (key, team) -> holders[key] == team }.keys)
            .forEach { (key, team) -> withdrawnAtMs[key to team] = nowMs }
        holders = teamOfKey
        history.write(createDesiredState(++version, teamOfKey), nowMs)
    }

    /** Restores the store from a copy with [teamOfKey], made [lostVersions] configurations ago. */
    fun restore(teamOfKey: Map<String, String>, lostVersions: Int) =
        history.restore(createDesiredState(version - lostVersions, teamOfKey), nowMs)

    /** Writes the latest configuration again. */
    fun writeAgain() = history.write(createDesiredState(version, holders), nowMs)

    /** Runs for [durationMs] and sends a request with each key to each instance in each step. */
    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += STEP_MS
            members.filter { !it.isPaused }.forEach { it.answerCalls(::checkRequests) }
            val due = datagrams.filter { it.dueAtMs <= nowMs && !it.to.isPaused }
            datagrams.removeAll(due.toSet())
            due.forEach { it.to.receive(it.message) }
            members.filter { !it.isPaused }.forEach { it.step() }
        }
    }

    fun clearCounts() {
        refused = 0
        maxProofAgeMs = 0
    }

    fun send(from: KeyFleetMember, recipients: List<InstanceRecord>, message: HeartbeatMessage) {
        members.filter { it.record in recipients && it !== from }.forEach { to ->
            val isLost = lossOneIn != null && random.nextInt(lossOneIn) == 0
            if (!isLost && from.canReach(to)) {
                datagrams += Datagram(nowMs + random.nextLong(MAX_DELAY_MS) + from.sendDelayMs, to, message)
            }
        }
    }

    /** Replaces the instances at [indices] by ones that know nothing. */
    fun restart(indices: IntRange) = indices.forEach { members[it] = KeyFleetMember(this, members[it].record) }

    /** Returns the instances at which [key] is accepted. */
    fun instancesAccepting(key: String): List<Int> =
        members.indices.filter { members[it].identify(keyRoute, key) is Caller.Member }

    /** Returns the instances that serve the public route. */
    fun instancesServingPublic(): List<Int> =
        members.indices.filter { members[it].identify(keyRoute.copy(isPublic = true), null) == Caller.Anonymous }

    /** Sends a request with each key to [member]. */
    private fun checkRequests(member: KeyFleetMember) {
        member.proofAgeMs()?.let { maxProofAgeMs = maxOf(maxProofAgeMs, it) }
        (holders.keys + withdrawnAtMs.keys.map { it.first }).forEach { key ->
            val caller = member.identify(keyRoute, key)
            if (caller is Caller.Member) checkInForce(member, key, caller.team.name.value)
            if (key in holders && caller is Caller.Unconfirmed) refused++
        }
    }

    private fun checkInForce(member: KeyFleetMember, key: String, team: String) {
        val withdrawn = withdrawnAtMs[key to team]?.takeIf { holders[key] != team } ?: return
        check(nowMs <= withdrawn + MAX_KEY_AGE_MS) {
            "${member.record.name} uses $key as $team ${nowMs - withdrawn} ms after its withdrawal"
        }
    }

    private fun createRecord(index: Int) = InstanceRecord(
        InstanceName("i$index"),
        keyFleetZones.keys.elementAt(index % keyFleetZones.size),
        SocketAddress("10.0.1.$index", 80),
        SocketAddress("10.0.1.$index", 90),
    )

    private class Datagram(val dueAtMs: Long, val to: KeyFleetMember, val message: HeartbeatMessage)
}

private fun createDesiredState(version: Long, teamOfKey: Map<String, String>) = DesiredState(
    DocumentVersion(version),
    listOf(keyRoute),
    emptyMap(),
    CallerLimits(16_384, 65_536, 3_000, 15_000),
    teamOfKey.entries.groupBy({ it.value }, { TeamKey(it.key) }).map { (team, keys) ->
        Team(TeamName(team), keys.toSet())
    } + Team(TeamName("without-keys"), emptySet()),
)
