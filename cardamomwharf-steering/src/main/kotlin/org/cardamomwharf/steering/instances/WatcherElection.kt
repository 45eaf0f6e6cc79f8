/*
 * Decides which instances of a zone follow the store. One does; the others learn from it what changed. An instance that
 * hears nothing from a working follower before it in the order of its zone follows the store itself, so a failure costs
 * a second call, not a missed change. What instances of other zones tell closes the gap while a follower hasn't noticed
 * that it is cut off.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.rendezvousTop
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.StoreStatus

/** Silence after which an instance doesn't count on another; half of the shortest bound for changes that users set. */
private const val MAX_STATUS_AGE_MS = 1_000L

/** Instances of each other zone that are told of changes, so that one which has just ended doesn't keep them back. */
private const val CANDIDATES_PER_ZONE = 2

/** Longest time without an answer of the store to an instance that others count on: a wait for changes, its margin. */
private const val MAX_STORE_SILENCE_MS = 3_300L

/** Time for which the own zone may catch up before another zone is asked; asking costs bytes between zones. */
private const val OTHER_ZONE_DELAY_MS = 250L

/** Represents what is reports about the store from other instances. */
public class WatcherElection(private val own: InstanceRecord) {
    private val reports = HashMap<InstanceName, StoreReport>()

    /** Notes [status] of the instance [from]. */
    public fun receive(from: InstanceRecord, status: StoreStatus, nowMs: Long) {
        val before = reports[from.name]
        val isSame = before != null && before.status.content == status.content
        reports[from.name] = StoreReport(from, status, nowMs, if (isSame) before.contentSinceMs else nowMs)
    }

    /** Returns true when this instance has to follow the store, given the instances that are [running]. */
    public fun isWatcher(running: Collection<InstanceRecord>, nowMs: Long): Boolean {
        val before = orderOfOwnZone(running).takeWhile { it != own.name }
        return before.none { name -> reports[name]?.isReliable(nowMs) == true }
    }

    /** Returns the instances that are the first to follow the store in each other zone, from the [running]. */
    public fun candidatesInOtherZones(running: Collection<InstanceRecord>): List<InstanceRecord> =
        running.filter { it.zone != own.zone }.groupBy { it.zone }
            .flatMap { (zone, zoneInstances) ->
                rendezvousTop(zone.value, zoneInstances, CANDIDATES_PER_ZONE) { it.name.value }
            }

    /** Returns the instances that are known to have something newer than [known], those of the own zone first. */
    public fun instancesAheadOf(known: ContentVersions, nowMs: Long): List<InstanceRecord> =
        reports.values
            .filter { nowMs - it.receivedAtMs <= MAX_STORE_SILENCE_MS && it.status.content.isAheadOf(known) }
            .filter { it.from.zone == own.zone || nowMs - it.contentSinceMs >= OTHER_ZONE_DELAY_MS }
            .map { it.from }
            .sortedByDescending { it.zone == own.zone }

    private fun orderOfOwnZone(running: Collection<InstanceRecord>): List<InstanceName> {
        val zoneInstances = running.filter { it.zone == own.zone && it.name != own.name } + own
        return rendezvousTop(own.zone.value, zoneInstances, zoneInstances.size) { it.name.value }.map { it.name }
    }

    private class StoreReport(
        val from: InstanceRecord,
        val status: StoreStatus,
        val receivedAtMs: Long,
        val contentSinceMs: Long,
    ) {
        fun isReliable(nowMs: Long): Boolean =
            !status.isFailing && status.silentForMs <= MAX_STORE_SILENCE_MS && nowMs - receivedAtMs <= MAX_STATUS_AGE_MS
    }
}
