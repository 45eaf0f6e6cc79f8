/*
 * Rendezvous hashing assigns each resource to a member without coordination. Processes that know the same members
 * compute the same owner, and a change of the members moves only the resources of the members that joined or left.
 */
package org.cardamomwharf.core

import kotlin.math.ln

/** Returns the member that owns [resource], or null when [members] is empty. */
public fun <T> rendezvousOwner(resource: String, members: Collection<T>, key: (T) -> String): T? =
    members.maxByOrNull { hash64(resource + "/" + key(it)) }

/** Returns up to [count] members for [resource] in order of preference. */
public fun <T> rendezvousTop(resource: String, members: Collection<T>, count: Int, key: (T) -> String): List<T> =
    members.sortedByDescending { hash64(resource + "/" + key(it)) }.take(count)

/**
 * Returns the rank of [member] in weighted rendezvous hashing. The member with the highest rank is selected; over many
 * resources each member is selected in proportion to its weight.
 *
 * @param weight a weight of zero or less ranks behind every positive weight.
 */
public fun weightedRank(resource: String, member: String, weight: Double): Double {
    if (weight <= 0.0) return Double.NEGATIVE_INFINITY
    val position = hashToUnitInterval("$resource/$member")
    return weight / -ln(position.coerceAtLeast(Double.MIN_VALUE))
}
