/*
 * Decides which instances are sent a heartbeat and what it tells of others.
 *
 * Instances report to the first two of their zone. The instance that follows the store for its zone passes on to the
 * whole zone what it heard, and to the first two of each other zone what it knows of its own. So news of an instance
 * needs three steps to reach all others, in a fleet of any size, and bytes between zones grow with the zones, not with
 * the pairs of instances. Random messages besides keep the news going while the followers of a zone are lost.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.rendezvousTop
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.store.StoreStatus
import kotlin.random.Random

/** Instances of its zone that an instance reports to, so that the second can follow the first without a gap. */
private const val REPORTED_TO = 2

/** Every which beat goes to a random instance of the region too. */
private const val NEAR_EVERY = 2

/** Every which beat goes to a random instance of another region too; its bytes cost more. */
private const val FAR_EVERY = 4

/** Every which beat tells other zones. */
private const val OTHER_ZONES_EVERY = 2

/** Heartbeats for which an instance is told of with its address; others have met it by then. */
private const val INTRODUCED_BEATS = 20

/** Instances with their addresses in one message, so that it stays small while a whole fleet starts. */
private const val LARGEST_INTRODUCED = 16

/** Counts in one message; with their names they fit into one datagram. */
private const val LARGEST_COUNTED = 600

/** Decides about the heartbeats of the instance at [place]. */
public class HeartbeatExchange(
    private val place: InstanceLocation,
    private val book: InstanceRegistry,
    private val readers: WatcherElection,
    private val random: Random = Random.Default,
) {
    /** The instance of the zone that last told about the store. */
    private var teller: InstanceRecord? = null

    /**
     * Counts the own heartbeat up and returns what to send.
     *
     * @param number number of the beat, counted up by one with each.
     * @param others all instances that may run, without this one.
     * @param news what to tell about the store, or null when another instance follows it for this one.
     */
    public fun nextHeartbeats(
        number: Int,
        others: Collection<InstanceRecord>,
        news: StoreStatus?,
        nowMs: Long,
    ): List<OutgoingHeartbeat> {
        book.incrementHeartbeat()
        val sends = ArrayList<OutgoingHeartbeat>()
        val zone = others.filter { it.zone == place.zone }
        val (near, far) = others.partition { place.regions[it.zone] == place.region }
        if (news != null) {
            sends += OutgoingHeartbeat(zone, messageOf(book.heartbeats(nowMs), news))
            if (number % OTHER_ZONES_EVERY == 0) sends += tellOtherZones(others, news, nowMs)
        } else {
            sends += OutgoingHeartbeat(reportedTo(zone, nowMs), HeartbeatMessage(book.own))
        }
        val chance = listOfNotNull(
            near.randomOrNull(random).takeIf { number % NEAR_EVERY == 0 },
            far.randomOrNull(random).takeIf { number % FAR_EVERY == 0 },
        )
        if (chance.isNotEmpty()) sends += OutgoingHeartbeat(chance, messageOf(book.heartbeats(nowMs), null))
        return sends.filter { it.recipients.isNotEmpty() }
    }

    /** Returns what to send when something changed in the store. */
    public fun changeNotification(
        others: Collection<InstanceRecord>,
        news: StoreStatus,
        nowMs: Long,
    ): OutgoingHeartbeat =
        OutgoingHeartbeat(
            others.filter { it.zone == place.zone } + candidatesInOtherZones(others, nowMs),
            HeartbeatMessage(book.own, storeStatus = news),
        )

    /** Notes that this instance is stopping and returns what to send to all [others]. */
    public fun leave(others: Collection<InstanceRecord>): OutgoingHeartbeat {
        book.leave()
        book.incrementHeartbeat()
        return OutgoingHeartbeat(others.toList(), HeartbeatMessage(book.own))
    }

    /** Takes [message]. */
    public fun receive(message: HeartbeatMessage, nowMs: Long) {
        val sender = message.sender.record
        if (message.storeStatus != null && sender.zone == place.zone) teller = sender
        book.receive(message.sender, nowMs)
        message.newInstances.forEach { book.receive(it, nowMs) }
        message.counts.forEach { book.receive(it, nowMs) }
    }

    private fun tellOtherZones(others: Collection<InstanceRecord>, news: StoreStatus, nowMs: Long): OutgoingHeartbeat {
        val ofZone = book.heartbeats(nowMs).filter { it.record.zone == place.zone }
        return OutgoingHeartbeat(candidatesInOtherZones(others, nowMs), messageOf(ofZone, news))
    }

    /** Returns the first instances of other zones among those that run, and among all as long as few are known. */
    private fun candidatesInOtherZones(others: Collection<InstanceRecord>, nowMs: Long): List<InstanceRecord> =
        (readers.candidatesInOtherZones(book.running(nowMs)) + readers.candidatesInOtherZones(others)).distinct()

    private fun reportedTo(zone: List<InstanceRecord>, nowMs: Long): List<InstanceRecord> {
        val running = book.running(nowMs).filter { it.zone == place.zone && it.name != place.instance }
        return (firstOf(running) + firstOf(zone) + listOfNotNull(teller)).distinct()
    }

    private fun firstOf(zone: List<InstanceRecord>): List<InstanceRecord> =
        rendezvousTop(place.zone.value, zone, REPORTED_TO) { it.name.value }

    private fun messageOf(known: List<Heartbeat>, news: StoreStatus?): HeartbeatMessage {
        val own = book.own
        val told = known.filter { it.record.name != own.record.name }
        val young = told.filter { it.count < INTRODUCED_BEATS }
        val introduced = if (young.size > LARGEST_INTRODUCED) young.shuffled(random).take(LARGEST_INTRODUCED) else young
        val counted = if (told.size > LARGEST_COUNTED) told.shuffled(random).take(LARGEST_COUNTED) else told
        return HeartbeatMessage(
            own,
            introduced,
            counted.map { HeartbeatCount(it.record.name, it.incarnation, it.count, it.isLeaving) },
            news,
        )
    }
}
