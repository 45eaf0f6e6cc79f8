/*
 * A part of a cap share that one instance lends to another for a bounded time. The borrower counts from the moment it
 * asked, the lender from the moment it granted plus a guard: whatever the delay of the messages and however long the
 * borrower was paused, the borrower stops before the lender resumes.
 */
package org.cardamomwharf.decision.caps

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.InstanceName

/** The time for which a loan lasts. */
public const val LOAN_DURATION_MS: Long = 5_000

/** The time that a lender waits beyond the end of a loan. */
public const val LOAN_GUARD_MS: Long = 2_000

/** Represents a request for a loan; [askedAtMs] is on the borrower's clock and returned with the grant. */
@Serializable
public data class LoanRequest(
    public val borrower: InstanceName,
    public val cap: CapId,
    public val unitsPerSecond: Long,
    public val askedAtMs: Long,
)

/** Represents the answer to a [LoanRequest]; zero units mean that nothing is lent. */
@Serializable
public data class LoanGrant(
    public val lender: InstanceName,
    public val cap: CapId,
    public val unitsPerSecond: Long,
    public val askedAtMs: Long,
)

/** Represents units per second of a cap that count until [untilMs] on the own clock. */
public data class Loan(public val cap: CapId, public val unitsPerSecond: Long, public val untilMs: Long)
