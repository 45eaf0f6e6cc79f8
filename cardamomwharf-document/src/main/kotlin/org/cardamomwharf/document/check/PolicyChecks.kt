/*
 * Checks client blocks for overlaps, and the policy for values that can't hold together.
 */
package org.cardamomwharf.document.check

import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.parseCidr
import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind

private const val MS_PER_SECOND = 1_000L
private const val PERCENT = 100L

internal fun checkClientBlocks(document: EnvironmentDocument, problems: ProblemCollector) {
    val zones = document.regions.flatMap { it.zones }.toSet()
    document.clientBlocks.forEachIndexed { index, block ->
        val path = "clientBlocks[$index]"
        if (parseCidr(block.cidr) == null) {
            problems.report(ProblemKind.WRONG_TYPE, "$path.cidr", "${block.cidr} isn't an aligned IPv4 block")
        }
        if (block.zone !in zones) {
            problems.report(ProblemKind.UNKNOWN_REFERENCE, "$path.zone", "no zone named ${block.zone.value}")
        }
    }
    reportOverlaps(document, problems)
}

private fun reportOverlaps(document: EnvironmentDocument, problems: ProblemCollector) {
    val ranges = document.clientBlocks
        .mapIndexedNotNull { index, block -> parseCidr(block.cidr)?.let { index to it } }
        .sortedBy { it.second.first }
    ranges.zipWithNext { (_, one), (index, other) ->
        if (other.first <= one.last) {
            problems.report(ProblemKind.DUPLICATE, "clientBlocks[$index].cidr", "overlaps another block")
        }
    }
}

internal fun checkPolicy(document: EnvironmentDocument, problems: ProblemCollector) {
    val policy = document.policy
    if (policy.shiftStopPercent >= policy.shiftStartPercent) {
        problems.report(ProblemKind.IMPOSSIBLE, "policy.shiftStopPercent", "must be below shiftStartPercent")
    }
    val burstPercent = policy.capBurstMs * PERCENT / MS_PER_SECOND
    val usable = PERCENT - policy.capReservePercent
    if (usable * (PERCENT + burstPercent) > PERCENT * PERCENT) {
        problems.report(ProblemKind.IMPOSSIBLE, "policy.capReservePercent", "the reserve doesn't cover capBurstMs")
    }
}
