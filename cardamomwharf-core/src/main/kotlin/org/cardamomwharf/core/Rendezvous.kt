/*
 * Rendezvous hashing gives every resource an owner from a set of members without agreement: all that know the same
 * members compute the same owner, and a change of members moves only what it must.
 */
package org.cardamomwharf.core

import kotlin.math.ln

/** Returns the member that owns [resource], or null when [members] is empty. */
public fun <T> rendezvousOwner(resource: String, members: Collection<T>, key: (T) -> String): T? =
    members.maxByOrNull { hash64(resource + "/" + key(it)) }

/** Returns up to [count] members for [resource], the first choice first. */
public fun <T> rendezvousTop(resource: String, members: Collection<T>, count: Int, key: (T) -> String): List<T> =
    members.sortedByDescending { hash64(resource + "/" + key(it)) }.take(count)

/**
 * Returns a rank for weighted rendezvous selection; members sorted by descending rank are spread by weight.
 *
 * @param weight a positive weight; zero or less ranks behind every positive weight.
 */
public fun weightedRank(resource: String, member: String, weight: Double): Double {
    if (weight <= 0.0) return Double.NEGATIVE_INFINITY
    val position = hashToUnitInterval("$resource/$member")
    return weight / -ln(position.coerceAtLeast(Double.MIN_VALUE))
}
