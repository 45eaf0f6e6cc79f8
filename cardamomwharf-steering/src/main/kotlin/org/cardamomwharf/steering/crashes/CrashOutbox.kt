/*
 * Messages and changes that wait to be sent to other instances and to be logged.
 */
package org.cardamomwharf.steering.crashes

import org.cardamomwharf.core.InstanceName

/** Represents a change of the block of a request, for logs and metrics. */
public data class BlockChange(public val fingerprint: Long, public val isBlocked: Boolean, public val remainingMs: Long)

/** Collects the messages of the instance [self]. */
public class CrashOutbox internal constructor(private val self: InstanceName) {
    private val messages = ArrayList<OutgoingCrashMessage>()
    private val changes = ArrayList<BlockChange>()

    /** True when there are messages to send. */
    public val hasMessages: Boolean get() = messages.isNotEmpty()

    /** Returns the messages to send since the last call. */
    public fun takeMessages(): List<OutgoingCrashMessage> = messages.toList().also { messages.clear() }

    /** Returns the changes of blocks since the last call. */
    public fun takeChanges(): List<BlockChange> = changes.toList().also { changes.clear() }

    internal fun add(recipients: Collection<InstanceName>?, message: CrashMessage) {
        val others = recipients?.filter { it != self }?.toSet()
        if (others == null || others.isNotEmpty()) messages.add(OutgoingCrashMessage(others, message))
    }

    internal fun add(notice: BlockNotice) {
        changes.add(BlockChange(notice.fingerprint, !notice.isLifted, notice.remainingMs))
    }
}
