/*
 * Keeps caps while documents change. Zones adopt a document at different times, and one that is cut off may go on under
 * an old one for long. Lowered shares are in force at once; a raised share waits until every zone has told that none of
 * its instances spends by an older epoch. Until then the smallest share of all epochs that may still be in use counts,
 * so that the zones together never spend more than the caps of the oldest of them.
 */
package org.cardamomwharf.decision.caps

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.ZoneName

/** Represents the shares of the own zone in one epoch. */
public data class EpochShares(public val epoch: CapEpoch, public val shares: Map<CapId, Long>)

/**
 * Represents the epochs that may still be in use anywhere, the oldest first.
 *
 * @param oldestEpochs the oldest epoch that a zone may spend by, as it told itself.
 * @param zones zones of the newest document that operators haven't stopped. Zones that it lacks were stopped before
 * they were taken out.
 */
public data class CapTransition(
    public val epochs: PersistentList<EpochShares> = persistentListOf(),
    public val oldestEpochs: PersistentMap<ZoneName, CapEpoch> = persistentMapOf(),
    public val zones: Set<ZoneName> = emptySet(),
    public val adoptedAtMs: Long = 0,
) {
    /** The newest epoch. */
    public val newest: CapEpoch get() = epochs.lastOrNull()?.epoch ?: CapEpoch.NONE

    /** The shares that may be spent. */
    public val shares: Map<CapId, Long> get() {
        val current = epochs.lastOrNull() ?: return emptyMap()
        return current.shares.mapValues { (cap, _) -> epochs.minOf { it.shares[cap] ?: 0 } }
    }

    /** The zones that raised shares wait for. */
    public val awaitedZones: Set<ZoneName>
        get() = if (epochs.size < 2) emptySet() else zones.filter { getOldestEpoch(it) < newest }.toSet()

    /** Returns the epoch that [zone] has told. */
    public fun getOldestEpoch(zone: ZoneName): CapEpoch = oldestEpochs[zone] ?: CapEpoch.NONE
}

/**
 * Returns the transition after the document of [next] was adopted. Epochs that this instance has no document of give it
 * no share at all.
 */
public fun CapTransition.adopt(next: EpochShares, documentZones: Set<ZoneName>, nowMs: Long): CapTransition {
    if (next.epoch <= newest) return copy(zones = documentZones).dropUnusedEpochs()
    val missed = EpochShares(CapEpoch(next.epoch.value - 1), emptyMap())
    val between = if (next.epoch > newest.next()) listOf(missed) else emptyList()
    return copy(
        epochs = (epochs + between + next).toPersistentList(),
        zones = documentZones,
        adoptedAtMs = nowMs,
    ).dropUnusedEpochs()
}

/** Returns the transition after [zone] told that it spends by [epoch] or newer ones only. */
public fun CapTransition.recordOldestEpoch(zone: ZoneName, epoch: CapEpoch): CapTransition =
    if (epoch <= getOldestEpoch(zone)) this else copy(oldestEpochs = oldestEpochs.put(zone, epoch)).dropUnusedEpochs()

/** Returns the oldest epoch that this instance may still spend by; loans of older ones have ended. */
public fun CapTransition.findOldestEpochInUse(nowMs: Long): CapEpoch = when {
    epochs.isEmpty() -> CapEpoch.NONE
    nowMs - adoptedAtMs >= LOAN_DURATION_MS -> newest
    else -> epochs.first().epoch
}

/** Drops the epochs that no zone uses any more. */
private fun CapTransition.dropUnusedEpochs(): CapTransition {
    if (epochs.size < 2) return this
    val oldest = zones.minOfOrNull { getOldestEpoch(it) } ?: newest
    val isUsed = { at: Int -> at + 1 >= epochs.size || epochs[at + 1].epoch > oldest }
    return copy(epochs = epochs.filterIndexed { at, _ -> isUsed(at) }.toPersistentList())
}
