/*
 * Defines the complete decision state of one entry instance. The rules for each part are in the file of that part.
 */
package org.cardamomwharf.decision

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.adoption.DocumentAdoption
import org.cardamomwharf.decision.caps.CapId
import org.cardamomwharf.decision.caps.CapLimiter
import org.cardamomwharf.decision.caps.CapTransition
import org.cardamomwharf.decision.claims.BoundKeys
import org.cardamomwharf.decision.claims.ClaimExpiry
import org.cardamomwharf.decision.claims.StoreHealth
import org.cardamomwharf.decision.membership.Member
import org.cardamomwharf.decision.membership.Membership
import org.cardamomwharf.decision.membership.MembershipSettings
import org.cardamomwharf.decision.membership.ServiceLoad
import org.cardamomwharf.decision.membership.Suspects
import org.cardamomwharf.decision.membership.newMembership
import org.cardamomwharf.decision.ownership.Ownership
import org.cardamomwharf.decision.requests.HeldResponse
import org.cardamomwharf.decision.requests.RequestTable
import org.cardamomwharf.decision.retry.RetryBudget
import org.cardamomwharf.decision.servers.ServerTable
import org.cardamomwharf.decision.servers.ServiceTimes
import org.cardamomwharf.decision.shift.ShiftPlan

/**
 * Represents the limits of one entry instance.
 *
 * @param largestOpenRequests maximum number of open requests; the last fifth is reserved for the services of the
 * highest weight.
 * @param largestWaiting maximum number of requests of one service that wait for a slot.
 */
@Serializable
public data class EntryLimits(
    public val largestOpenRequests: Int = 2_000,
    public val largestWaiting: Int = 64,
)

/** Represents a graceful shutdown: when it was requested and until when new requests are accepted. */
public data class LeaveState(public val sinceMs: Long, public val acceptsUntilMs: Long)

/** Represents the last heartbeat and zone summary that were sent. */
public data class HeartbeatState(
    public val sequence: Long = 0,
    public val sentAtMs: Long = Long.MIN_VALUE / 2,
    public val viewHash: Long = 0,
    public val summarySentAtMs: Long = Long.MIN_VALUE / 2,
    public val loads: List<ServiceLoad> = emptyList(),
)

/** Represents the decision state of one entry instance. */
public data class EntryState(
    public val limits: EntryLimits,
    public val membership: Membership,
    public val epochSeconds: Long = 0,
    public val ownership: Ownership = Ownership(),
    public val adoption: DocumentAdoption = DocumentAdoption(),
    public val servers: ServerTable = ServerTable(),
    public val suspects: Suspects = Suspects(),
    public val serviceTimes: ServiceTimes = ServiceTimes(),
    public val capLimiter: CapLimiter = CapLimiter(burstMs = 0),
    public val capTransition: CapTransition = CapTransition(),
    public val retryBudget: RetryBudget = RetryBudget(),
    public val storeHealth: StoreHealth = StoreHealth(),
    public val boundKeys: BoundKeys = BoundKeys(),
    public val claimExpiry: ClaimExpiry = ClaimExpiry(),
    public val requests: RequestTable = RequestTable(),
    public val heldResponses: PersistentMap<AttemptId, HeldResponse> = persistentMapOf(),
    public val loanRequestedAtMs: PersistentMap<CapId, Long> = persistentMapOf(),
    public val summaryRelayedAtMs: PersistentMap<ZoneName, Long> = persistentMapOf(),
    public val ownershipUpdatedAtMs: Long = Long.MIN_VALUE / 2,
    public val shifts: ShiftPlan = ShiftPlan(),
    public val heartbeats: HeartbeatState = HeartbeatState(),
    public val leave: LeaveState? = null,
)

/** Represents the result of handling one event: the new state and the effects to carry out. */
public data class EntryStep(public val state: EntryState, public val effects: List<EntryEffect>)

/** Returns the initial state of an instance. */
public fun newEntryState(
    self: Member,
    membership: MembershipSettings,
    limits: EntryLimits,
    nowMs: Long,
): EntryState = EntryState(limits, newMembership(self, membership, nowMs))
