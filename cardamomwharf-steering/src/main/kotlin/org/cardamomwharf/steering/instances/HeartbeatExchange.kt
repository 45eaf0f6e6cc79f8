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
import org.cardamomwharf.steering.Place
import org.cardamomwharf.steering.belief.StoreNews
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
    private val place: Place,
    private val book: InstanceBook,
    private val readers: ReaderChoice,
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
    public fun beat(
        number: Int,
        others: Collection<InstanceRecord>,
        news: StoreNews?,
        nowMs: Long,
    ): List<HeartbeatSend> {
        book.beat()
        val sends = ArrayList<HeartbeatSend>()
        val zone = others.filter { it.zone == place.zone }
        val (near, far) = others.partition { place.regions[it.zone] == place.region }
        if (news != null) {
            sends += HeartbeatSend(zone, messageOf(book.heartbeats(nowMs), news))
            if (number % OTHER_ZONES_EVERY == 0) sends += tellOtherZones(others, news, nowMs)
        } else {
            sends += HeartbeatSend(reportedTo(zone, nowMs), HeartbeatMessage(book.own))
        }
        val chance = listOfNotNull(
            near.randomOrNull(random).takeIf { number % NEAR_EVERY == 0 },
            far.randomOrNull(random).takeIf { number % FAR_EVERY == 0 },
        )
        if (chance.isNotEmpty()) sends += HeartbeatSend(chance, messageOf(book.heartbeats(nowMs), null))
        return sends.filter { it.to.isNotEmpty() }
    }

    /** Returns what to send when something changed in the store. */
    public fun change(others: Collection<InstanceRecord>, news: StoreNews, nowMs: Long): HeartbeatSend =
        HeartbeatSend(
            others.filter { it.zone == place.zone } + firstOfOtherZones(others, nowMs),
            HeartbeatMessage(book.own, news = news),
        )

    /** Notes that this instance is stopping and returns what to send to all [others]. */
    public fun leave(others: Collection<InstanceRecord>): HeartbeatSend {
        book.leave()
        book.beat()
        return HeartbeatSend(others.toList(), HeartbeatMessage(book.own))
    }

    /** Takes [message]. */
    public fun receive(message: HeartbeatMessage, nowMs: Long) {
        val sender = message.sender.record
        if (message.news != null && sender.zone == place.zone) teller = sender
        book.hear(message.sender, nowMs)
        message.introduced.forEach { book.hear(it, nowMs) }
        message.counts.forEach { book.hear(it, nowMs) }
    }

    private fun tellOtherZones(others: Collection<InstanceRecord>, news: StoreNews, nowMs: Long): HeartbeatSend {
        val ofZone = book.heartbeats(nowMs).filter { it.record.zone == place.zone }
        return HeartbeatSend(firstOfOtherZones(others, nowMs), messageOf(ofZone, news))
    }

    /** Returns the first instances of other zones among those that run, and among all as long as few are known. */
    private fun firstOfOtherZones(others: Collection<InstanceRecord>, nowMs: Long): List<InstanceRecord> =
        (readers.firstOfOtherZones(book.running(nowMs)) + readers.firstOfOtherZones(others)).distinct()

    private fun reportedTo(zone: List<InstanceRecord>, nowMs: Long): List<InstanceRecord> {
        val running = book.running(nowMs).filter { it.zone == place.zone && it.name != place.instance }
        return (firstOf(running) + firstOf(zone) + listOfNotNull(teller)).distinct()
    }

    private fun firstOf(zone: List<InstanceRecord>): List<InstanceRecord> =
        rendezvousTop(place.zone.value, zone, REPORTED_TO) { it.name.value }

    private fun messageOf(known: List<Heartbeat>, news: StoreNews?): HeartbeatMessage {
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
