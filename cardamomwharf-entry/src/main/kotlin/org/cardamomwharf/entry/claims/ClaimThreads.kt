/*
 * Groups the background threads that access claims in the table service.
 */
package org.cardamomwharf.entry.claims

/** Holds the workers for single claims and the thread that expires old ones. */
public class ClaimThreads(public val workers: ClaimWorkers, public val expirer: ClaimExpirer)
