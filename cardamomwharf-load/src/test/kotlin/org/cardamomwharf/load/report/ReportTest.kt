/*
 * Reports from result files: the table, the plot, and files that can't be used.
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

private fun inFolder(use: (Path) -> Unit) {
    val folder = Files.createTempDirectory("wharf-report")
    try {
        use(folder)
    } finally {
        folder.toFile().deleteRecursively()
    }
}

class ReportTest : FunSpec({
    test("`results of the policy bench become lines of a table`") {
        inFolder { folder ->
            val file = folder.resolve("results.json")
            Files.writeString(file, RESULTS)
            val lines = tableOf(readReportRows(file).get().orEmpty()).lines()
            lines[2] shouldBe "| steady | cardamomwharf | latency | stan | 98.5 | 64 | 258 | 26.5 | 11 | - |"
        }
    }

    test("`a plot is a picture`") {
        inFolder { folder ->
            val file = folder.resolve("results.json")
            Files.writeString(file, RESULTS)
            val picture = folder.resolve("trade.png")
            writeTradePlot(readReportRows(file).get().orEmpty(), "Trade", picture)
            Files.readAllBytes(picture).drop(1).take(3).map { it.toInt().toChar() }.joinToString("") shouldBe "PNG"
        }
    }

    test("`files that aren't there or hold something else are told apart`") {
        inFolder { folder ->
            val missing = folder.resolve("missing.json")
            readReportRows(missing).getError() shouldBe ReportError.File(missing.toString())
            val other = folder.resolve("other.json")
            Files.writeString(other, "{}")
            readReportRows(other).getError().shouldBeInstanceOf<ReportError.Contents>()
        }
    }
})
