/*
 * The threads that wait for the table service on behalf of claims.
 */
package org.cardamomwharf.entry.claims

/** Represents the threads that call the table service about claims. */
public class ClaimThreads(public val workers: ClaimWorkers, public val expirer: ClaimExpirer)
