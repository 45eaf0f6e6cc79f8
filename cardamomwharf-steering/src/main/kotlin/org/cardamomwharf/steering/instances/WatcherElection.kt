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
private const val NEWS_SILENCE_MS = 1_000L

/** Instances of each other zone that are told of changes, so that one which has just ended doesn't keep them back. */
private const val TOLD_OF_ZONE = 2

/** Longest time without an answer of the store to an instance that others count on: a wait for changes, its margin. */
private const val STORE_SILENCE_MS = 3_300L

/** Time for which the own zone may catch up before another zone is asked; asking costs bytes between zones. */
private const val OTHER_ZONE_AFTER_MS = 250L

/** Represents what is heard about the store from other instances. */
public class WatcherElection(private val own: InstanceRecord) {
    private val heard = HashMap<InstanceName, Heard>()

    /** Notes [news] of the instance [from]. */
    public fun receive(from: InstanceRecord, news: StoreStatus, nowMs: Long) {
        val before = heard[from.name]
        val isSame = before != null && before.news.content == news.content
        heard[from.name] = Heard(from, news, nowMs, if (isSame) before.contentSinceMs else nowMs)
    }

    /** Returns true when this instance has to follow the store, given the instances that are [running]. */
    public fun isWatcher(running: Collection<InstanceRecord>, nowMs: Long): Boolean {
        val before = orderOf(running).takeWhile { it != own.name }
        return before.none { name -> heard[name]?.isReliable(nowMs) == true }
    }

    /** Returns the instances that are the first to follow the store in each other zone, from the [running]. */
    public fun candidatesInOtherZones(running: Collection<InstanceRecord>): List<InstanceRecord> =
        running.filter { it.zone != own.zone }.groupBy { it.zone }
            .flatMap { (zone, ofZone) -> rendezvousTop(zone.value, ofZone, TOLD_OF_ZONE) { it.name.value } }

    /** Returns the instances that are known to have something newer than [known], those of the own zone first. */
    public fun instancesAheadOf(known: ContentVersions, nowMs: Long): List<InstanceRecord> =
        heard.values
            .filter { nowMs - it.heardAtMs <= STORE_SILENCE_MS && it.news.content.isAheadOf(known) }
            .filter { it.from.zone == own.zone || nowMs - it.contentSinceMs >= OTHER_ZONE_AFTER_MS }
            .map { it.from }
            .sortedByDescending { it.zone == own.zone }

    private fun orderOf(running: Collection<InstanceRecord>): List<InstanceName> {
        val ofZone = running.filter { it.zone == own.zone && it.name != own.name } + own
        return rendezvousTop(own.zone.value, ofZone, ofZone.size) { it.name.value }.map { it.name }
    }

    private class Heard(
        val from: InstanceRecord,
        val news: StoreStatus,
        val heardAtMs: Long,
        val contentSinceMs: Long,
    ) {
        fun isReliable(nowMs: Long): Boolean =
            !news.isFailing && news.silentForMs <= STORE_SILENCE_MS && nowMs - heardAtMs <= NEWS_SILENCE_MS
    }
}
