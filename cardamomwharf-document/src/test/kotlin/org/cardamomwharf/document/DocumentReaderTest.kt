/*
 * Documents are checked whole: the examples are clean, and each kind of fault is reported with its place.
 */
package org.cardamomwharf.document

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cardamomwharf.document.yaml.LARGEST_YAML_CHARACTERS
import org.cardamomwharf.document.yaml.ProblemKind
import org.cardamomwharf.document.yaml.SourcePosition
import java.nio.file.Files
import java.nio.file.Path

private val examples = Path.of("../examples")

private fun example(name: String): String = Files.readString(examples.resolve("$name/document.yaml"))

private fun kindsOf(text: String): List<Pair<ProblemKind, String>> =
    parseDocument(text).getError().orEmpty().map { it.kind to it.path }

class DocumentReaderTest : FunSpec({
    test("`both example documents are clean`") {
        listOf("wisla", "svetlomer").forEach { parseDocument(example(it)).get() shouldNotBe null }
    }

    test("`all faults are reported at once with line and column`") {
        val broken = example("wisla")
            .replace("objective: latency", "objective: speed")
            .replace("betweenRegionsMs: 35", "betweenRegionMs: 35")
            .replaceFirst("capBytesPerSecond: 500000000", "capBytesPerSecond: lots")
        kindsOf(broken) shouldContainExactlyInAnyOrder listOf(
            ProblemKind.WRONG_TYPE to "objective",
            ProblemKind.MISSING_KEY to "delays.betweenRegionsMs",
            ProblemKind.UNKNOWN_KEY to "delays.betweenRegionMs",
            ProblemKind.WRONG_TYPE to "links[0].capBytesPerSecond",
        )
        val problem = parseDocument(broken).getError().orEmpty().first { it.path == "objective" }
        problem.position shouldBe SourcePosition(3, 12)
    }

    test("`duplicates, unknown references and overlapping blocks are reported`") {
        val broken = example("svetlomer")
            .replaceFirst("name: orders", "name: matcher")
            .replaceFirst("partner: acquired", "partner: nobody")
            .replace("cidr: 127.21.0.0/16", "cidr: 127.20.0.0/16")
        val kinds = kindsOf(broken)
        kinds shouldContain (ProblemKind.DUPLICATE to "services[1].name")
        kinds shouldContain (ProblemKind.UNKNOWN_REFERENCE to "regions[1].partner")
        kinds shouldContain (ProblemKind.DUPLICATE to "clientBlocks[1].cidr")
    }

    test("`a document of many client blocks is read, and one that is too large is refused with its size`") {
        val blocks = (0 until 70_000).joinToString("") { number ->
            "  - cidr: 10.${number / 256 / 256}.${number / 256 % 256}.${number % 256}/32\n    zone: mazowsze-a\n"
        }
        parseDocument(example("wisla") + blocks).get()?.clientBlocks?.size shouldBe 70_006
        kindsOf(" ".repeat(LARGEST_YAML_CHARACTERS + 1)) shouldBe listOf(ProblemKind.OUT_OF_RANGE to "")
    }

    test("`weights, thresholds and reserves that can't hold are reported`") {
        val policy = "policy:\n  shiftStopPercent: 90\n  capReservePercent: 5\n"
        val kinds = kindsOf(example("wisla") + policy)
        kinds shouldContain (ProblemKind.IMPOSSIBLE to "policy.shiftStopPercent")
        kinds shouldContain (ProblemKind.IMPOSSIBLE to "policy.capReservePercent")
    }

    test("`a missing link is reported by its ends`") {
        val broken = example("wisla").replaceFirst(Regex("  - from: mazowsze\n    to: malopolska\n.*\n"), "")
        kindsOf(broken) shouldContain (ProblemKind.MISSING_KEY to "links")
    }

    test("`text that isn't YAML is reported as such`") {
        kindsOf("services: [a, b").map { it.first } shouldBe listOf(ProblemKind.SYNTAX)
        kindsOf("- a").map { it.first } shouldBe listOf(ProblemKind.WRONG_TYPE)
    }
})
