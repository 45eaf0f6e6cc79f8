/*
 * Counts requests that are shifted to another partner's regions, in windows of one second, against the partner's cap.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.DocumentIndex

private const val WINDOW_MS = 1_000L
private const val PERCENT = 100.0

/** Represents the shifted requests of a run. */
public class CapMeter(private val index: DocumentIndex) {
    private val recent = HashMap<PartnerName, ArrayDeque<Long>>()

    /** The fullest window of any partner in percent of its cap. */
    public var largestPercent: Double = 0.0
        private set

    /** Notes a request that goes from one zone to another. */
    public fun note(from: ZoneName, to: ZoneName, nowMs: Long) {
        val partner = index.regionByZone.getValue(to).partner
        if (index.regionByZone.getValue(from).partner == partner) return
        val window = recent.getOrPut(partner) { ArrayDeque() }
        window.addLast(nowMs)
        while (window.first() <= nowMs - WINDOW_MS) window.removeFirst()
        val cap = index.partners.getValue(partner).inboundRequestsPerSecond
        largestPercent = maxOf(largestPercent, window.size * PERCENT / cap)
    }
}
