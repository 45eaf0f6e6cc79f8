/*
 * Counts the bytes per second of requests served outside their client's region and compares them with the link caps.
 * A request that a look-up directs to another region counts as if it crossed the link between the regions. Bytes are
 * scaled back to the rates of the document.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.document.DocumentIndex
import org.cardamomwharf.core.document.Service

private const val WINDOW_MS = 1_000L
private const val HEADER_BYTES = 1_024L
private const val PERCENT = 100.0

/** Tracks the bytes on all links of a run. */
public class LinkMeter(private val index: DocumentIndex) {
    private val windows = index.document.links.associate { (it.from to it.to) to LinkWindow(it.capBytesPerSecond) }

    /** The smallest unused share of any link in any window, in percent. */
    public val leastFreePercent: Double
        get() = PERCENT - (windows.values.maxOfOrNull { it.maxPercent } ?: 0.0)

    /** Records a request for [service] from a client in [from] that is served in [to]. */
    public fun recordRequest(from: RegionName, to: RegionName, service: Service, nowMs: Long) {
        if (from == to) return
        windows[from to to]?.add(HEADER_BYTES, nowMs)
        windows[to to from]?.add(HEADER_BYTES + service.expectedResponseBytes, nowMs)
    }

    private class LinkWindow(private val capBytesPerSecond: Long) {
        private val recent = ArrayDeque<SentBytes>()
        private var sumBytes = 0L
        var maxPercent = 0.0
            private set

        fun add(bytes: Long, nowMs: Long) {
            recent.addLast(SentBytes(bytes, nowMs))
            sumBytes += bytes
            while (recent.first().atMs <= nowMs - WINDOW_MS) sumBytes -= recent.removeFirst().bytes
            maxPercent = maxOf(maxPercent, sumBytes * TIME_SCALE * PERCENT / capBytesPerSecond)
        }
    }

    private class SentBytes(val bytes: Long, val atMs: Long)
}
