/*
 * Formats reports as Markdown tables.
 */
package org.cardamomwharf.load.report

private const val HEADER =
    "| case | routing | objective | service | goodput % | median ms | p95 ms | free % | cap % | drain ms |"

/** Returns a Markdown table of [rows] in their order. */
public fun formatTable(rows: List<ReportRow>): String {
    val separator = "|" + " --- |".repeat(HEADER.count { it == '|' } - 1)
    return (listOf(HEADER, separator) + rows.map(::formatRow)).joinToString("\n", postfix = "\n")
}

private fun formatRow(row: ReportRow): String = listOf(
    row.case,
    row.router,
    row.objective,
    row.service,
    "%.1f".format(row.goodputPercent),
    row.medianMs.toString(),
    row.p95Ms.toString(),
    "%.1f".format(row.meanFreePercent),
    "%.0f".format(row.largestCapPercent),
    row.drainMs?.toString() ?: "-",
).joinToString(" | ", prefix = "| ", postfix = " |")
