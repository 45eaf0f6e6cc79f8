/*
 * Prints the results of policy runs as a table.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.document.EnvironmentDocument

private const val ROW = "%-24s %-23s %-10s %8s %8s %7s %7s %7s %7s %7s %7s %7s %7s  %s"
private const val PERCENT = 100

/** Returns the measurements of all cases with entry instances and with each baseline, and prints a row for each. */
public fun printPolicyBench(document: EnvironmentDocument, seed: Long, caseName: String?): List<PolicyCount> {
    println("${document.deployment}, objective ${document.objective.name.lowercase()}, seed $seed; times 10x of real")
    println(
        ROW.format(
            "case",
            "routing",
            "service",
            "offered",
            "goodput%",
            "median",
            "p95",
            "p99",
            "free%",
            "region%",
            "cap%",
            "link%",
            "drain",
            "other ends",
        ),
    )
    return policyCases(document.regions.map { it.name })
        .filter { caseName == null || it.name == caseName }
        .flatMap { printCase(document, it, seed) }
}

private fun printCase(document: EnvironmentDocument, case: PolicyCase, seed: Long): List<PolicyCount> {
    val routerFactories: List<(PolicySimulation) -> Router> =
        listOf<(PolicySimulation) -> Router>(::EntryInstanceRouter) +
            (0..2).map { index -> { simulation -> createBaselines(simulation)[index] } }
    val counts = routerFactories.flatMap { runPolicy(document, case, seed, it) }
    counts.forEach { println(formatRow(it)) }
    return counts
}

private fun formatRow(count: PolicyCount): String = ROW.format(
    count.case,
    count.router,
    count.service,
    count.offered,
    "%.1f".format(count.ranInTime * PERCENT.toDouble() / count.offered.coerceAtLeast(1)),
    count.medianMs,
    count.p95Ms,
    count.p99Ms,
    "%.1f".format(count.meanFreePercent),
    "%.1f".format(count.fullestRegionFreePercent),
    "%.0f".format(count.largestCapPercent),
    "%.0f".format(count.leastLinkFreePercent),
    count.drainMs?.toString() ?: "-",
    count.failures.entries.joinToString { "${it.key} ${it.value}" },
)
