/*
 * Reports as tables in Markdown.
 */
package org.cardamomwharf.load.report

private const val HEAD =
    "| case | routing | objective | service | goodput % | median ms | p95 ms | free % | cap % | drain ms |"

/** Returns the rows as a table, in the order of cases and routings. */
public fun tableOf(rows: List<ReportRow>): String {
    val rule = "|" + " --- |".repeat(HEAD.count { it == '|' } - 1)
    return (listOf(HEAD, rule) + rows.map(::lineOf)).joinToString("\n", postfix = "\n")
}

private fun lineOf(row: ReportRow): String = listOf(
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
