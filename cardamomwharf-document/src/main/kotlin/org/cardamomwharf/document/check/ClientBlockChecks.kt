/*
 * Checks the client blocks of a document for malformed blocks, unknown zones and overlaps.
 */
package org.cardamomwharf.document.check

import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.parseCidr
import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind

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
    ranges.zipWithNext { (_, previous), (index, current) ->
        if (current.first <= previous.last) {
            problems.report(ProblemKind.DUPLICATE, "clientBlocks[$index].cidr", "overlaps another block")
        }
    }
}
