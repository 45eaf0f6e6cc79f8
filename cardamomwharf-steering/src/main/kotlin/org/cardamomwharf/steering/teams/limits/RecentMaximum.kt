/*
 * The largest of the numbers of some time. Instances that are no longer seen count for it, because they may only be out
 * of reach.
 */
package org.cardamomwharf.steering.teams.limits

internal class RecentMaximum(private val keptMs: Long) {
    private val numbers = ArrayDeque<Pair<Long, Int>>()

    /** The largest recent number, or 0 before the first. */
    val value: Int get() = numbers.firstOrNull()?.second ?: 0

    /** Adds [number], which replaces smaller ones. */
    fun add(number: Int, nowMs: Long) {
        while (numbers.isNotEmpty() && numbers.last().second <= number) numbers.removeLast()
        numbers.addLast(nowMs to number)
        while (nowMs - numbers.first().first > keptMs) numbers.removeFirst()
    }
}
