/*
 * Keeps caps while documents change. Zones adopt a document at different times, and a zone that is cut off may use an
 * old one for long. Lowered shares take effect at once; a raised share takes effect when every zone has reported that
 * none of its instances uses an older epoch. Until then the smallest share of all epochs that may still be in use
 * applies, so that the zones together never exceed the caps of the oldest of them.
 */
package org.cardamomwharf.decision.caps

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.ZoneName

/** Represents the cap shares of the own zone in one epoch. */
public data class EpochShares(public val epoch: CapEpoch, public val shares: Map<CapId, Long>)

/**
 * Represents the epochs that some zone may still use, oldest first.
 *
 * @param oldestEpochs the oldest epoch that each zone may still use, as reported by the zone.
 * @param zones zones of the newest document that operators haven't stopped. A zone is removed from the document only
 * after it was stopped.
 */
public data class CapTransition(
    public val epochs: PersistentList<EpochShares> = persistentListOf(),
    public val oldestEpochs: PersistentMap<ZoneName, CapEpoch> = persistentMapOf(),
    public val zones: Set<ZoneName> = emptySet(),
    public val adoptedAtMs: Long = 0,
) {
    /** The newest epoch. */
    public val newest: CapEpoch get() = epochs.lastOrNull()?.epoch ?: CapEpoch.NONE

    /** The shares that may be used: for each cap the smallest of all epochs. */
    public val shares: Map<CapId, Long> get() {
        val current = epochs.lastOrNull() ?: return emptyMap()
        return current.shares.mapValues { (cap, _) -> epochs.minOf { it.shares[cap] ?: 0 } }
    }

    /** The zones that still have to report the newest epoch before raised shares take effect. */
    public val awaitedZones: Set<ZoneName>
        get() = if (epochs.size < 2) emptySet() else zones.filter { getOldestEpoch(it) < newest }.toSet()

    /** Returns the oldest epoch that [zone] may still use. */
    public fun getOldestEpoch(zone: ZoneName): CapEpoch = oldestEpochs[zone] ?: CapEpoch.NONE
}

/**
 * Adopts the shares of [next]. When epochs in between were missed, this instance has no share until no zone uses them.
 */
public fun CapTransition.adopt(next: EpochShares, documentZones: Set<ZoneName>, nowMs: Long): CapTransition {
    if (next.epoch <= newest) return copy(zones = documentZones).dropUnusedEpochs()
    val missed = EpochShares(CapEpoch(next.epoch.value - 1), emptyMap())
    val missedEpochs = if (next.epoch > newest.next()) listOf(missed) else emptyList()
    return copy(
        epochs = (epochs + missedEpochs + next).toPersistentList(),
        zones = documentZones,
        adoptedAtMs = nowMs,
    ).dropUnusedEpochs()
}

/** Records the report of [zone] that it uses no epoch older than [epoch]. */
public fun CapTransition.recordOldestEpoch(zone: ZoneName, epoch: CapEpoch): CapTransition =
    if (epoch <= getOldestEpoch(zone)) this else copy(oldestEpochs = oldestEpochs.put(zone, epoch)).dropUnusedEpochs()

/** Returns the oldest epoch that this instance may still use; loans from older epochs have ended. */
public fun CapTransition.findOldestEpochInUse(nowMs: Long): CapEpoch = when {
    epochs.isEmpty() -> CapEpoch.NONE
    nowMs - adoptedAtMs >= LOAN_DURATION_MS -> newest
    else -> epochs.first().epoch
}

/** Drops the epochs that no zone uses any longer. */
private fun CapTransition.dropUnusedEpochs(): CapTransition {
    if (epochs.size < 2) return this
    val oldest = zones.minOfOrNull { getOldestEpoch(it) } ?: newest
    val isUsed = { index: Int -> index + 1 >= epochs.size || epochs[index + 1].epoch > oldest }
    return copy(epochs = epochs.filterIndexed { index, _ -> isUsed(index) }.toPersistentList())
}
