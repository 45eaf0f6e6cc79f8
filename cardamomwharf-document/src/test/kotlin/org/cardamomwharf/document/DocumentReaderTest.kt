/*
 * Tests that the example documents are valid and that each kind of problem is reported with its position.
 */
package org.cardamomwharf.document

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cardamomwharf.document.yaml.MAX_YAML_CHARACTERS
import org.cardamomwharf.document.yaml.ProblemKind
import org.cardamomwharf.document.yaml.SourcePosition
import java.nio.file.Files
import java.nio.file.Path

private val examples = Path.of("../examples")

private fun readExample(name: String): String = Files.readString(examples.resolve("$name/document.yaml"))

private fun findProblems(text: String): List<Pair<ProblemKind, String>> =
    parseDocument(text).getError().orEmpty().map { it.kind to it.path }

class DocumentReaderTest : FunSpec({
    test("`both example documents are valid`") {
        listOf("wisla", "svetlomer").forEach { parseDocument(readExample(it)).get() shouldNotBe null }
    }

    test("`all problems of a document are reported together with line and column`") {
        val invalid = readExample("wisla")
            .replace("objective: latency", "objective: speed")
            .replace("betweenRegionsMs: 35", "betweenRegionMs: 35")
            .replaceFirst("capBytesPerSecond: 500000000", "capBytesPerSecond: lots")
        findProblems(invalid) shouldContainExactlyInAnyOrder listOf(
            ProblemKind.WRONG_TYPE to "objective",
            ProblemKind.MISSING_KEY to "delays.betweenRegionsMs",
            ProblemKind.UNKNOWN_KEY to "delays.betweenRegionMs",
            ProblemKind.WRONG_TYPE to "links[0].capBytesPerSecond",
        )
        val problem = parseDocument(invalid).getError().orEmpty().first { it.path == "objective" }
        problem.position shouldBe SourcePosition(3, 12)
    }

    test("`duplicates, unknown references and overlapping blocks are reported`") {
        val invalid = readExample("svetlomer")
            .replaceFirst("name: orders", "name: matcher")
            .replaceFirst("partner: acquired", "partner: nobody")
            .replace("cidr: 127.21.0.0/16", "cidr: 127.20.0.0/16")
        val problems = findProblems(invalid)
        problems shouldContain (ProblemKind.DUPLICATE to "services[1].name")
        problems shouldContain (ProblemKind.UNKNOWN_REFERENCE to "regions[1].partner")
        problems shouldContain (ProblemKind.DUPLICATE to "clientBlocks[1].cidr")
    }

    test("`a document with many client blocks is read, and a text above the maximum size is rejected`") {
        val blocks = (0 until 70_000).joinToString("") { number ->
            "  - cidr: 10.${number / 256 / 256}.${number / 256 % 256}.${number % 256}/32\n    zone: mazowsze-a\n"
        }
        parseDocument(readExample("wisla") + blocks).get()?.clientBlocks?.size shouldBe 70_006
        findProblems(" ".repeat(MAX_YAML_CHARACTERS + 1)) shouldBe listOf(ProblemKind.OUT_OF_RANGE to "")
    }

    test("`inconsistent thresholds and reserves are reported`") {
        val policy = "policy:\n  shiftStopPercent: 90\n  capReservePercent: 5\n"
        val problems = findProblems(readExample("wisla") + policy)
        problems shouldContain (ProblemKind.IMPOSSIBLE to "policy.shiftStopPercent")
        problems shouldContain (ProblemKind.IMPOSSIBLE to "policy.capReservePercent")
    }

    test("`a missing link is reported`") {
        val invalid = readExample("wisla").replaceFirst(Regex("  - from: mazowsze\n    to: malopolska\n.*\n"), "")
        findProblems(invalid) shouldContain (ProblemKind.MISSING_KEY to "links")
    }

    test("`malformed YAML is reported as a syntax problem, and a list instead of a mapping as a wrong type`") {
        findProblems("services: [a, b").map { it.first } shouldBe listOf(ProblemKind.SYNTAX)
        findProblems("- a").map { it.first } shouldBe listOf(ProblemKind.WRONG_TYPE)
    }
})
