/*
 * Counts the bytes of requests that are served in another region than their client's, in windows of one second, against
 * the caps of the links. Requests that look-ups send are counted as if they crossed the link between the regions. Bytes
 * are scaled back to the rates of the document.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service

private const val WINDOW_MS = 1_000L
private const val HEAD_BYTES = 1_024L
private const val PERCENT = 100.0

/** Represents the bytes on all links of a run. */
public class LinkMeter(private val index: DocumentIndex) {
    private val windows = index.document.links.associate { (it.from to it.to) to LinkWindow(it.capBytesPerSecond) }

    /** The least free part of any link in any window, in percent. */
    public val leastFreePercent: Double
        get() = PERCENT - (windows.values.maxOfOrNull { it.largestPercent } ?: 0.0)

    /** Notes a request of [service] from a client in one region that is served in another. */
    public fun note(from: RegionName, to: RegionName, service: Service, nowMs: Long) {
        if (from == to) return
        windows[from to to]?.add(HEAD_BYTES, nowMs)
        windows[to to from]?.add(HEAD_BYTES + service.expectedResponseBytes, nowMs)
    }

    private class LinkWindow(private val capBytesPerSecond: Long) {
        private val recent = ArrayDeque<SentBytes>()
        private var sumBytes = 0L
        var largestPercent = 0.0
            private set

        fun add(bytes: Long, nowMs: Long) {
            recent.addLast(SentBytes(bytes, nowMs))
            sumBytes += bytes
            while (recent.first().atMs <= nowMs - WINDOW_MS) sumBytes -= recent.removeFirst().bytes
            largestPercent = maxOf(largestPercent, sumBytes * TIME_SCALE * PERCENT / capBytesPerSecond)
        }
    }

    private class SentBytes(val bytes: Long, val atMs: Long)
}
