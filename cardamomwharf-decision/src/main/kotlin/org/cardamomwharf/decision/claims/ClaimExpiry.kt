/*
 * Schedules the deletion of old claim rows. The table service deletes rows by age, in batches of bounded size, so a
 * call is cheap and may be repeated. One instance makes the calls: each hour is assigned to a zone, and in it to one
 * live instance, without coordination. If two instances make the calls, no harm is done.
 */
package org.cardamomwharf.decision.claims

import org.cardamomwharf.core.rendezvousOwner
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.StepContext
import org.cardamomwharf.decision.membership.listLiveMembers

/** Maximum number of rows that one call deletes. */
public const val MAX_EXPIRED_ROWS: Int = 1_000

private const val TASK_NAME = "claim-expiry"
private const val SECONDS_PER_HOUR = 3_600L
private const val SECONDS_PER_MINUTE = 60L
private const val UNASSIGNED_PAUSE_MS = 1_000L
private const val FULL_BATCH_PAUSE_MS = 1_000L
private const val IDLE_PAUSE_MS = 60_000L

/** Represents the time of the next deletion of old claim rows. */
public data class ClaimExpiry(public val nextAtMs: Long = 0)

/** Requests a deletion when it is due and assigned to this instance. */
internal fun StepContext.expireClaims() {
    if (nowMs < state.claimExpiry.nextAtMs) return
    val isAssigned = isExpiryAssignedHere()
    state = state.copy(claimExpiry = ClaimExpiry(nowMs + if (isAssigned) IDLE_PAUSE_MS else UNASSIGNED_PAUSE_MS))
    if (!isAssigned) return
    emit(EntryEffect.ExpireClaims(policy.claimRetentionMinutes * SECONDS_PER_MINUTE, MAX_EXPIRED_ROWS))
}

/** Schedules the next deletion after [rows] were deleted; null when the table service did not reply. */
internal fun StepContext.scheduleNextExpiry(rows: Int?) {
    val pauseMs = if (rows == MAX_EXPIRED_ROWS) FULL_BATCH_PAUSE_MS else IDLE_PAUSE_MS
    state = state.copy(claimExpiry = ClaimExpiry(nowMs + pauseMs))
}

private fun StepContext.isExpiryAssignedHere(): Boolean {
    val current = index
    val hour = state.epochSeconds / SECONDS_PER_HOUR
    if (current == null || hour == 0L || state.storeHealth.isDown(nowMs)) return false
    val zones = current.regionByZone.keys - current.document.stoppedZones.toSet()
    val zone = rendezvousOwner("$TASK_NAME/$hour", zones) { it.value }
    val isOwnZone = zone == state.membership.self.zone
    return isOwnZone && findOwner() == state.membership.self.name
}

private fun StepContext.findOwner() = rendezvousOwner(TASK_NAME, state.membership.listLiveMembers(nowMs)) { it.value }
