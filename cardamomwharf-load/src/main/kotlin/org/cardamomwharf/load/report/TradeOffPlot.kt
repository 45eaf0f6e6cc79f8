/*
 * Plots latency against headroom: a point for each service and case, a colour for each router and objective.
 */
package org.cardamomwharf.load.report

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle
import org.knowm.xchart.style.Styler.LegendPosition
import java.nio.file.Path

private const val WIDTH_PX = 900
private const val HEIGHT_PX = 600

/** Writes the plot of [rows] to [file] as a PNG image. */
public fun writeTradeOffPlot(rows: List<ReportRow>, title: String, file: Path) {
    val chart = createChart(title)
    rows.groupBy { "${it.router}, ${it.objective}" }.forEach { (name, points) ->
        chart.addSeries(name, points.map { it.meanFreePercent }, points.map { it.medianMs.toDouble() })
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG)
}

private fun createChart(title: String): XYChart {
    val chart = XYChartBuilder()
        .width(WIDTH_PX)
        .height(HEIGHT_PX)
        .title(title)
        .xAxisTitle("free slots of the fullest region, percent")
        .yAxisTitle("median latency, ms")
        .build()
    chart.styler.defaultSeriesRenderStyle = XYSeriesRenderStyle.Scatter
    chart.styler.legendPosition = LegendPosition.OutsideE
    return chart
}
