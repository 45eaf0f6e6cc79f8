/*
 * Decides which instances are sent a heartbeat and what it tells of others.
 *
 * Instances report to the first two of their zone. The instance that follows the store for its zone passes on to the
 * whole zone what it heard, and to the first two of each other zone what it knows of its own. So status of an instance
 * needs three steps to reach all others, in a fleet of any size, and bytes between zones grow with the zones, not with
 * the pairs of instances. Random messages besides keep the status going while the followers of a zone are lost.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.rendezvousTop
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.store.StoreStatus
import kotlin.random.Random

/** Instances of its zone that an instance reports to, so that the second can follow the first without a gap. */
private const val REPORT_TARGETS = 2

/** Every which beat goes to a random instance of the region too. */
private const val OWN_REGION_INTERVAL = 2

/** Every which beat goes to a random instance of another region too; its bytes cost more. */
private const val OTHER_REGION_INTERVAL = 4

/** Every which beat tells other zones. */
private const val OTHER_ZONES_INTERVAL = 2

/** Heartbeats for which an instance is others of with its address; others have met it by then. */
private const val NEW_INSTANCE_HEARTBEATS = 20

/** Instances with their addresses in one message, so that it stays small while a whole fleet starts. */
private const val MAX_NEW_INSTANCES = 16

/** Counts in one message; with their names they fit into one datagram. */
private const val MAX_COUNTS = 600

/** Decides about the heartbeats of the instance at [location]. */
public class HeartbeatExchange(
    private val location: InstanceLocation,
    private val registry: InstanceRegistry,
    private val election: WatcherElection,
    private val random: Random = Random.Default,
) {
    /** The instance of the zone that last others about the store. */
    private var lastWatcher: InstanceRecord? = null

    /**
     * Counts the own heartbeat up and returns what to send.
     *
     * @param number number of the beat, counted up by one with each.
     * @param others all instances that may run, without this one.
     * @param status what to tell about the store, or null when another instance follows it for this one.
     */
    public fun nextHeartbeats(
        number: Int,
        others: Collection<InstanceRecord>,
        status: StoreStatus?,
        nowMs: Long,
    ): List<OutgoingHeartbeat> {
        registry.incrementHeartbeat()
        val sends = ArrayList<OutgoingHeartbeat>()
        val zone = others.filter { it.zone == location.zone }
        val (ownRegion, otherRegions) = others.partition { location.regions[it.zone] == location.region }
        if (status != null) {
            sends += OutgoingHeartbeat(zone, createMessage(registry.heartbeats(nowMs), status))
            if (number % OTHER_ZONES_INTERVAL == 0) sends += notifyOtherZones(others, status, nowMs)
        } else {
            sends += OutgoingHeartbeat(reportTargets(zone, nowMs), HeartbeatMessage(registry.own))
        }
        val randomTargets = listOfNotNull(
            ownRegion.randomOrNull(random).takeIf { number % OWN_REGION_INTERVAL == 0 },
            otherRegions.randomOrNull(random).takeIf { number % OTHER_REGION_INTERVAL == 0 },
        )
        if (randomTargets.isNotEmpty()) {
            sends += OutgoingHeartbeat(randomTargets, createMessage(registry.heartbeats(nowMs), null))
        }
        return sends.filter { it.recipients.isNotEmpty() }
    }

    /** Returns what to send when something changed in the store. */
    public fun changeNotification(
        others: Collection<InstanceRecord>,
        status: StoreStatus,
        nowMs: Long,
    ): OutgoingHeartbeat =
        OutgoingHeartbeat(
            others.filter { it.zone == location.zone } + candidatesInOtherZones(others, nowMs),
            HeartbeatMessage(registry.own, storeStatus = status),
        )

    /** Notes that this instance is stopping and returns what to send to all [others]. */
    public fun leave(others: Collection<InstanceRecord>): OutgoingHeartbeat {
        registry.leave()
        registry.incrementHeartbeat()
        return OutgoingHeartbeat(others.toList(), HeartbeatMessage(registry.own))
    }

    /** Takes [message]. */
    public fun receive(message: HeartbeatMessage, nowMs: Long) {
        val sender = message.sender.record
        if (message.storeStatus != null && sender.zone == location.zone) lastWatcher = sender
        registry.receive(message.sender, nowMs)
        message.newInstances.forEach { registry.receive(it, nowMs) }
        message.counts.forEach { registry.receive(it, nowMs) }
    }

    private fun notifyOtherZones(
        others: Collection<InstanceRecord>,
        status: StoreStatus,
        nowMs: Long,
    ): OutgoingHeartbeat {
        val zoneHeartbeats = registry.heartbeats(nowMs).filter { it.record.zone == location.zone }
        return OutgoingHeartbeat(candidatesInOtherZones(others, nowMs), createMessage(zoneHeartbeats, status))
    }

    /** Returns the first instances of other zones among those that run, and among all as long as few are known. */
    private fun candidatesInOtherZones(others: Collection<InstanceRecord>, nowMs: Long): List<InstanceRecord> =
        (election.candidatesInOtherZones(registry.running(nowMs)) + election.candidatesInOtherZones(others)).distinct()

    private fun reportTargets(zone: List<InstanceRecord>, nowMs: Long): List<InstanceRecord> {
        val running = registry.running(nowMs).filter { it.zone == location.zone && it.name != location.instance }
        return (firstInZone(running) + firstInZone(zone) + listOfNotNull(lastWatcher)).distinct()
    }

    private fun firstInZone(zone: List<InstanceRecord>): List<InstanceRecord> =
        rendezvousTop(location.zone.value, zone, REPORT_TARGETS) { it.name.value }

    private fun createMessage(known: List<Heartbeat>, status: StoreStatus?): HeartbeatMessage {
        val own = registry.own
        val others = known.filter { it.record.name != own.record.name }
        val recent = others.filter { it.count < NEW_INSTANCE_HEARTBEATS }
        val newInstances =
            if (recent.size > MAX_NEW_INSTANCES) recent.shuffled(random).take(MAX_NEW_INSTANCES) else recent
        val counted = if (others.size > MAX_COUNTS) others.shuffled(random).take(MAX_COUNTS) else others
        return HeartbeatMessage(
            own,
            newInstances,
            counted.map { HeartbeatCount(it.record.name, it.incarnation, it.count, it.isLeaving) },
            status,
        )
    }
}
