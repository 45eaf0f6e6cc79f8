/*
 * Periodic polling on a thread of its own, with jitter so that instances do not poll at the same time.
 */
package org.cardamomwharf.entry.polling

import java.util.concurrent.ThreadLocalRandom

private const val JITTER_DIVISOR = 5

/** Starts a thread named [name] that calls [poll] about every [intervalMs]. */
public fun startPoller(name: String, intervalMs: Long, poll: () -> Unit) {
    val thread = Thread({
        while (!Thread.interrupted()) {
            poll()
            Thread.sleep(intervalMs + ThreadLocalRandom.current().nextLong(intervalMs / JITTER_DIVISOR + 1))
        }
    }, name)
    thread.isDaemon = true
    thread.start()
}
