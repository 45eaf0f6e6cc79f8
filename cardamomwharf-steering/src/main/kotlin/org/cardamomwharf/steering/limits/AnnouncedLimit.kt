/*
 * The limit that a backend server announces for all instances together. The instances don't coordinate: a few of them,
 * the same in every view, send most of the requests at equal intervals. The others each send one from time to time,
 * which tells them when the limit ends. An unused interval isn't made up for, so that the instances never hold more
 * requests in reserve than the users tolerate.
 */
package org.cardamomwharf.steering.limits

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.hashToUnitInterval
import org.cardamomwharf.core.rendezvousTop

/** Share of the limit for the senders; the rest is for the other instances. */
private const val SENDERS_SHARE = 0.5

/** Senders beyond one for each request per second; the users tolerate five requests beyond the limit. */
private const val ADDITIONAL_SENDERS = 2

/** Lower bound of a limit, so that its end is noticed; far below what the users tolerate beyond a limit of 0. */
private const val MIN_LIMIT_PER_SECOND = 0.1
private const val MS_PER_SECOND = 1_000.0

/**
 * Keeps this instance's part of the limit that one backend server announces.
 *
 * @param perSecond requests per second that the server takes from all instances together.
 */
public class AnnouncedLimit private constructor(public val perSecond: Double, private var lastSentAtMs: Long) {
    /** Creates the limit of a server that has announced none before; [intervalMs] is null while it is unknown. */
    public constructor(perSecond: Double, intervalMs: Double?, phase: Double, nowMs: Long) :
        this(perSecond, nowMs - ((intervalMs ?: 0.0) * phase).toLong())

    /** Returns this instance's part of another limit of the same server. */
    public fun withLimit(perSecond: Double): AnnouncedLimit = AnnouncedLimit(perSecond, lastSentAtMs)

    /** Returns true when a request may be sent now, given the interval between requests of this instance. */
    public fun isAllowed(intervalMs: Double, nowMs: Long): Boolean = nowMs - lastSentAtMs >= intervalMs

    /** Records a request that is sent now. */
    public fun recordRequest(nowMs: Long) {
        lastSentAtMs = nowMs
    }
}

/**
 * Returns the interval between requests of [self] to [server], which announces a limit of [perSecond], in milliseconds.
 *
 * @param nearby the instances that send most of the requests; a few of them are chosen.
 * @param all all instances.
 */
public fun announcedIntervalMs(
    self: InstanceName,
    server: ServerName,
    nearby: Collection<InstanceName>,
    all: Collection<InstanceName>,
    perSecond: Double,
): Double {
    val usablePerSecond = perSecond.coerceAtLeast(MIN_LIMIT_PER_SECOND)
    val senderCount = (usablePerSecond + ADDITIONAL_SENDERS).toInt().coerceAtMost(nearby.size)
    val senders = rendezvousTop(server.value, nearby, senderCount) { it.value }
    val otherCount = all.size - senders.size
    val sendersPerSecond = usablePerSecond * (if (otherCount > 0) SENDERS_SHARE else 1.0)
    val ownPerSecond = if (self in senders) {
        sendersPerSecond / senders.size
    } else {
        (usablePerSecond - sendersPerSecond) / otherCount
    }
    return MS_PER_SECOND / ownPerSecond
}

/** Returns the phase at which [self] begins to send to [server], between 0 and 1, different on each instance. */
public fun announcedPhase(self: InstanceName, server: ServerName): Double =
    hashToUnitInterval("${server.value}/${self.value}")
