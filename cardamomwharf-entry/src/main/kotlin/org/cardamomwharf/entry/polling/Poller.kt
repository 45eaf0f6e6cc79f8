/*
 * A thread that asks something again and again. The pause varies a little, so that many instances don't ask together.
 */
package org.cardamomwharf.entry.polling

import java.util.concurrent.ThreadLocalRandom

private const val JITTER_DIVISOR = 5

/** Starts a thread named [name] that calls [ask] about every [intervalMs]. */
public fun startPoller(name: String, intervalMs: Long, ask: () -> Unit) {
    val thread = Thread({
        while (!Thread.interrupted()) {
            ask()
            Thread.sleep(intervalMs + ThreadLocalRandom.current().nextLong(intervalMs / JITTER_DIVISOR + 1))
        }
    }, name)
    thread.isDaemon = true
    thread.start()
}
