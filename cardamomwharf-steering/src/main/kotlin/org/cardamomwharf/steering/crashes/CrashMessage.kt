/*
 * Messages between instances about requests that crash backend servers. A request is identified by its fingerprint, a
 * hash of what a caller sends, because it comes again under another request ID at any instance.
 */
package org.cardamomwharf.steering.crashes

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.InstanceName

/**
 * Represents a connection that a backend server broke off while it had the request.
 *
 * @param server hash of the server and its start, so that reports about one crash count once.
 */
@Serializable
public data class CrashReport(public val fingerprint: Long, public val server: Long)

/**
 * Represents the state of a request that has crashed several servers.
 *
 * @param serial number of changes of the state; a higher one replaces a lower one.
 * @param failures number of times that the request was blocked since it was last answered.
 * @param remainingMs time until the request may be tried again.
 * @param isLifted true when the request was answered and is no longer blocked.
 */
@Serializable
public data class BlockNotice(
    public val fingerprint: Long,
    public val serial: Int,
    public val failures: Int,
    public val remainingMs: Long,
    public val isLifted: Boolean,
)

/**
 * Represents a message to other instances.
 *
 * @param reports crashes that the sender has seen.
 * @param suspects requests under which two servers have crashed; a receiver that gets an answer to one of them says so.
 * @param answered requests that were reported and then answered.
 * @param blocks requests that are blocked, or no longer.
 */
@Serializable
public data class CrashMessage(
    public val reports: List<CrashReport> = emptyList(),
    public val suspects: List<Long> = emptyList(),
    public val answered: List<Long> = emptyList(),
    public val blocks: List<BlockNotice> = emptyList(),
)

/** Represents a [message] to send to [recipients], or to all other instances when they are null. */
public data class OutgoingCrashMessage(val recipients: Set<InstanceName>?, val message: CrashMessage)
