/*
 * Decides which instances receive a heartbeat, and its contents.
 *
 * Instances report to the first two instances of their zone. The instance that watches the store for its zone relays
 * all received heartbeats to the whole zone, and those of its own zone to the first two instances of each other zone.
 * So a heartbeat reaches all instances in three hops regardless of the fleet size, and traffic between zones grows with
 * the number of zones, not with the pairs of instances. Additional messages to random instances keep heartbeats flowing
 * while a zone has lost its watchers.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.rendezvousTop
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.store.StoreStatus
import kotlin.random.Random

/**
 * Number of instances in the zone that receive reports, so that the second one can take over from the first without a
 * gap.
 */
private const val REPORT_TARGETS = 2

/** Interval, in heartbeats, of messages to a random instance of the own region. */
private const val OWN_REGION_INTERVAL = 2

/** Interval, in heartbeats, of messages to a random instance of another region; longer because of traffic costs. */
private const val OTHER_REGION_INTERVAL = 4

/** Interval, in heartbeats, of messages to the other zones. */
private const val OTHER_ZONES_INTERVAL = 2

/** Heartbeat count up to which an instance is sent with its addresses; after that, others have received them. */
private const val NEW_INSTANCE_HEARTBEATS = 20

/** Maximum number of instances with addresses in one message; keeps messages small while a whole fleet starts. */
private const val MAX_NEW_INSTANCES = 16

/** Maximum number of heartbeat counts in one message; with the names, they fit into one datagram. */
private const val MAX_COUNTS = 600

/** Decides which heartbeats the instance at [location] sends. */
public class HeartbeatExchange(
    private val location: InstanceLocation,
    private val registry: InstanceRegistry,
    private val election: WatcherElection,
    private val random: Random = Random.Default,
) {
    /** The instance of the zone that last reported the status of the store. */
    private var lastWatcher: InstanceRecord? = null
    private val sent = SentHeartbeats()

    /**
     * Increments the own heartbeat and returns the messages to send.
     *
     * @param number sequence number of the heartbeat, incremented by one each time.
     * @param others all other instances that may be running.
     * @param status status of the store to report, or null when another instance watches it for this one.
     */
    public fun nextHeartbeats(
        number: Int,
        others: Collection<InstanceRecord>,
        status: StoreStatus?,
        nowMs: Long,
    ): List<OutgoingHeartbeat> {
        registry.incrementHeartbeat()
        sent.record(registry.own, nowMs)
        val messages = ArrayList<OutgoingHeartbeat>()
        val zone = others.filter { it.zone == location.zone }
        val (ownRegion, otherRegions) = others.partition { location.regions[it.zone] == location.region }
        if (status != null) {
            messages += OutgoingHeartbeat(zone, createMessage(registry.heartbeats(nowMs), status))
            if (number % OTHER_ZONES_INTERVAL == 0) messages += notifyOtherZones(others, status, nowMs)
        } else {
            messages += OutgoingHeartbeat(reportTargets(zone, nowMs), HeartbeatMessage(registry.own))
        }
        val randomTargets = listOfNotNull(
            ownRegion.randomOrNull(random).takeIf { number % OWN_REGION_INTERVAL == 0 },
            otherRegions.randomOrNull(random).takeIf { number % OTHER_REGION_INTERVAL == 0 },
        )
        if (randomTargets.isNotEmpty()) {
            messages += OutgoingHeartbeat(randomTargets, createMessage(registry.heartbeats(nowMs), null))
        }
        return messages.filter { it.recipients.isNotEmpty() }
    }

    /** Returns the message to send after a change in the store. */
    public fun changeNotification(
        others: Collection<InstanceRecord>,
        status: StoreStatus,
        nowMs: Long,
    ): OutgoingHeartbeat =
        OutgoingHeartbeat(
            others.filter { it.zone == location.zone } + candidatesInOtherZones(others, nowMs),
            HeartbeatMessage(registry.own, storeStatus = status),
        )

    /** Marks this instance as leaving and returns the message to send to all [others]. */
    public fun leave(others: Collection<InstanceRecord>): OutgoingHeartbeat {
        registry.leave()
        registry.incrementHeartbeat()
        return OutgoingHeartbeat(others.toList(), HeartbeatMessage(registry.own))
    }

    /** Processes a received [message]. */
    public fun receive(message: HeartbeatMessage, nowMs: Long) {
        val sender = message.sender.record
        if (message.storeStatus != null && sender.zone == location.zone) lastWatcher = sender
        registry.receive(message.sender, nowMs)
        message.newInstances.forEach { registry.receive(it, nowMs) }
        message.counts.forEach { registry.receive(it, nowMs) }
    }

    /**
     * Returns the time at which the own heartbeat that [message] returns was sent, or null when it returns none of the
     * latest ones. The sender made the message after it had received that heartbeat.
     */
    public fun askedAtMs(message: HeartbeatMessage): Long? =
        message.counts.firstOrNull { it.name == location.instance }?.let(sent::findTimeMs)

    private fun notifyOtherZones(
        others: Collection<InstanceRecord>,
        status: StoreStatus,
        nowMs: Long,
    ): OutgoingHeartbeat {
        val zoneHeartbeats = registry.heartbeats(nowMs).filter { it.record.zone == location.zone }
        return OutgoingHeartbeat(candidatesInOtherZones(others, nowMs), createMessage(zoneHeartbeats, status))
    }

    /**
     * Returns the first instances of the other zones among the running ones, and among all [others], because few
     * running ones may be known yet.
     */
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
