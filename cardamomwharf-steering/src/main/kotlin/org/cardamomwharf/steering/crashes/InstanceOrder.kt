/*
 * The order in which instances are responsible for a request, the same on all instances that know the same others.
 */
package org.cardamomwharf.steering.crashes

import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.combineHashes
import org.cardamomwharf.core.hash64

/** Instances that count the crashes under one request; two, in case one fails or a datagram is lost. */
private const val COUNTING_INSTANCES = 2

/** Orders the live instances, including [self]. */
internal class InstanceOrder(private val self: InstanceName) {
    private var instances: List<InstanceName> = listOf(self)

    /** Sets the live instances. */
    fun update(live: Collection<InstanceName>) {
        instances = live.toList()
    }

    /** Returns the instances that count the crashes under the request. */
    fun countingInstances(fingerprint: Long): List<InstanceName> = orderFor(fingerprint).take(COUNTING_INSTANCES)

    /** Returns the place of this instance in the order; 0 is the first. */
    fun ownRank(fingerprint: Long): Int = orderFor(fingerprint).indexOf(self).coerceAtLeast(0)

    private fun orderFor(fingerprint: Long): List<InstanceName> =
        instances.sortedByDescending { combineHashes(fingerprint, hash64(it.value)) }
}
