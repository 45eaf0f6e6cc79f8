/*
 * Counts requests shifted to another partner's regions per second and compares them with the partner's cap.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex

private const val WINDOW_MS = 1_000L
private const val PERCENT = 100.0

/** Tracks the shifted requests of a run. */
public class CapMeter(private val index: DocumentIndex) {
    private val recent = HashMap<PartnerName, ArrayDeque<Long>>()

    /** The largest count of any partner in one window, in percent of its cap. */
    public var maxPercent: Double = 0.0
        private set

    /** Records a request from a client near [from] that is served in [to]. */
    public fun recordRequest(from: ZoneName, to: ZoneName, nowMs: Long) {
        val partner = index.regionByZone.getValue(to).partner
        if (index.regionByZone.getValue(from).partner == partner) return
        val window = recent.getOrPut(partner) { ArrayDeque() }
        window.addLast(nowMs)
        while (window.first() <= nowMs - WINDOW_MS) window.removeFirst()
        val cap = index.partners.getValue(partner).inboundRequestsPerSecond
        maxPercent = maxOf(maxPercent, window.size * PERCENT / cap)
    }
}
