/*
 * Elects the instance of a zone that watches the store; the others receive changes from it. Instances are ordered by
 * rendezvous hashing. An instance watches the store itself unless an instance before it has recently reported a working
 * connection, so a failed watcher causes duplicate calls to the store but no missed changes. Reports from other zones
 * cover the time until a watcher notices that it is disconnected from the store.
 */
package org.cardamomwharf.steering.instances

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.rendezvousTop
import org.cardamomwharf.steering.store.ContentVersions
import org.cardamomwharf.steering.store.StoreStatus

/** Maximum age of the last report of a watcher; half of the shortest bound for changes in the settings of users. */
private const val MAX_STATUS_AGE_MS = 1_000L

/** Number of instances in each other zone that are notified of changes, so that a stopped one doesn't delay them. */
private const val CANDIDATES_PER_ZONE = 2

/** Maximum time since a watcher's last response from the store: one wait for changes and a margin. */
private const val MAX_STORE_SILENCE_MS = 3_300L

/**
 * Time in which the own zone may catch up before another zone is asked, because requests between zones cost traffic.
 */
private const val OTHER_ZONE_DELAY_MS = 250L

/** Elects watchers from the store statuses that other instances report. */
public class WatcherElection(private val own: InstanceRecord) {
    private val reports = HashMap<InstanceName, StoreReport>()

    /** Records the [status] reported by the instance [from]. */
    public fun receive(from: InstanceRecord, status: StoreStatus, nowMs: Long) {
        val before = reports[from.name]
        val isSame = before != null && before.status.content == status.content
        reports[from.name] = StoreReport(from, status, nowMs, if (isSame) before.contentSinceMs else nowMs)
    }

    /** Returns true when this instance has to watch the store, given the [running] instances. */
    public fun isWatcher(running: Collection<InstanceRecord>, nowMs: Long): Boolean {
        val before = orderOfOwnZone(running).takeWhile { it != own.name }
        return before.none { name -> reports[name]?.isReliable(nowMs) == true }
    }

    /** Returns the first watcher candidates of each other zone among the [running] instances. */
    public fun candidatesInOtherZones(running: Collection<InstanceRecord>): List<InstanceRecord> =
        running.filter { it.zone != own.zone }.groupBy { it.zone }
            .flatMap { (zone, zoneInstances) ->
                rendezvousTop(zone.value, zoneInstances, CANDIDATES_PER_ZONE) { it.name.value }
            }

    /** Returns the instances with newer content than [known], those of the own zone first. */
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
