/*
 * A loan of a part of a cap share from one instance to another for a bounded time. The borrower counts the duration
 * from its request, the lender from its grant and adds a guard: whatever the message delay, and however long the
 * borrower was paused, the borrower stops before the lender uses the units again.
 */
package org.cardamomwharf.decision.caps

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.InstanceName

/** The duration of a loan, from the time of the request. */
public const val LOAN_DURATION_MS: Long = 5_000

/** The time after the end of a loan for which the lender still leaves the lent units unused. */
public const val LOAN_GUARD_MS: Long = 2_000

/** Represents a request for a loan; [askedAtMs] is from the borrower's clock and is returned with the grant. */
@Serializable
public data class LoanRequest(
    public val borrower: InstanceName,
    public val cap: CapId,
    public val unitsPerSecond: Long,
    public val askedAtMs: Long,
)

/** Represents the reply to a [LoanRequest]; zero units mean that nothing is lent. */
@Serializable
public data class LoanGrant(
    public val lender: InstanceName,
    public val cap: CapId,
    public val unitsPerSecond: Long,
    public val askedAtMs: Long,
)

/** Represents borrowed or lent units per second of a cap, valid until [untilMs] on the own clock. */
public data class Loan(public val cap: CapId, public val unitsPerSecond: Long, public val untilMs: Long)
