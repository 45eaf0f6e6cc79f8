/*
 * Writes the report of a run: a page with its faults and violated guarantees, and a plot of requests over time.
 */
package org.cardamomwharf.soak

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder
import java.nio.file.Files
import java.nio.file.Path

private const val WIDTH = 1_000
private const val HEIGHT = 400
private const val MS_PER_S = 1_000L

/** Writes the report of [outcome] into [folder]. */
fun writeReport(outcome: SoakOutcome, folder: Path) {
    val seconds = (outcome.calls.maxOfOrNull { getSecond(it, outcome) } ?: 0) + 1
    val kinds = outcome.calls.groupBy(::getOutcomeName).mapValues { (_, calls) ->
        val counts = calls.groupingBy { getSecond(it, outcome) }.eachCount()
        (0 until seconds).map { counts[it] ?: 0 }
    }
    val chart = XYChartBuilder().width(WIDTH).height(HEIGHT).title("Requests by outcome, seed ${outcome.seed}")
        .xAxisTitle("seconds").yAxisTitle("requests a second").build()
    kinds.forEach { (kind, counts) -> chart.addSeries(kind, (0 until seconds).toList(), counts) }
    BitmapEncoder.saveBitmap(chart, folder.resolve("requests.png").toString(), BitmapEncoder.BitmapFormat.PNG)
    Files.writeString(folder.resolve("report.html"), createPage(outcome))
}

private fun getSecond(call: CallRecord, outcome: SoakOutcome): Int =
    ((call.startedAtMs - outcome.startedAtMs) / MS_PER_S).toInt()

private fun getOutcomeName(call: CallRecord): String = if (call.status == 0) "no answer" else "${call.status}"

private fun createPage(outcome: SoakOutcome): String = buildString {
    append("<!doctype html><title>Soak, seed ${outcome.seed}</title><h1>Soak, seed ${outcome.seed}</h1>")
    append("<p>${outcome.calls.size} requests, ${outcome.violations.size} broken promises</p><img src=requests.png>")
    append("<h2>Broken promises</h2><ul>")
    outcome.violations.forEach { append("<li>${it.guarantee}: ${escape(it.detail)}</li>") }
    append("</ul><h2>Faults</h2><ul>")
    outcome.plan.forEach { append("<li>${it.atMs} ms: ${escape(it.fault.toString())}</li>") }
    append("</ul>")
}

private fun escape(text: String) = text.replace("&", "&amp;").replace("<", "&lt;")
