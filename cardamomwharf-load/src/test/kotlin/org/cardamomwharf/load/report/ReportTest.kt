/*
 * Tests reports from result files: the table, the plot, and errors for missing and invalid files.
 */
package org.cardamomwharf.load.report

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Files
import java.nio.file.Path

private const val RESULTS = """[{"case":"steady","router":"cardamomwharf","service":"stan","offered":1000,"ran":990,
"ranInTime":985,"ends":{},"medianMs":64,"p95Ms":258,"p99Ms":382,"meanFreePercent":26.52,"objective":"latency",
"largestCapPercent":11.4,"drainMs":null}]"""

private fun withTempDirectory(use: (Path) -> Unit) {
    val directory = Files.createTempDirectory("wharf-report")
    try {
        use(directory)
    } finally {
        directory.toFile().deleteRecursively()
    }
}

class ReportTest : FunSpec({
    test("`results of the policy bench are formatted as rows of a table`") {
        withTempDirectory { directory ->
            val file = directory.resolve("results.json")
            Files.writeString(file, RESULTS)
            val lines = formatTable(readReportRows(file).get().orEmpty()).lines()
            lines[2] shouldBe "| steady | cardamomwharf | latency | stan | 98.5 | 64 | 258 | 26.5 | 11 | - |"
        }
    }

    test("`a plot is written as a PNG image`") {
        withTempDirectory { directory ->
            val file = directory.resolve("results.json")
            Files.writeString(file, RESULTS)
            val image = directory.resolve("trade.png")
            writeTradeOffPlot(readReportRows(file).get().orEmpty(), "Trade", image)
            Files.readAllBytes(image).drop(1).take(3).map { it.toInt().toChar() }.joinToString("") shouldBe "PNG"
        }
    }

    test("`a missing file and a file with other contents give different errors`") {
        withTempDirectory { directory ->
            val missing = directory.resolve("missing.json")
            readReportRows(missing).getError() shouldBe ReportError.File(missing.toString())
            val other = directory.resolve("other.json")
            Files.writeString(other, "{}")
            readReportRows(other).getError().shouldBeInstanceOf<ReportError.Contents>()
        }
    }
})
