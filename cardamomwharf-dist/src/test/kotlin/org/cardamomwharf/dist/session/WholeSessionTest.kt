/*
 * Compares a complete session with entry processes with a golden file: submit, promote, look-up, read, booking, invalid
 * input, drain and stop. Values that differ between runs are replaced by placeholders.
 */
package org.cardamomwharf.dist.session

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.cli.CommandError
import org.cardamomwharf.cli.Report
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Drain
import org.cardamomwharf.dist.support.Deployment
import org.cardamomwharf.dist.support.SLOW_SERVICE
import org.cardamomwharf.dist.support.eventually
import org.cardamomwharf.dist.support.sendRawRequest
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path

private val golden = Path.of("src/test/resources/golden/whole-session.txt")
private val client = HttpField("Wharf-Client", "127.10.0.1")

private class Transcript {
    private val lines = mutableListOf<String>()

    fun record(step: String, response: HttpResponse?) {
        lines += "$step -> ${response?.status}"
        response?.headers
            ?.filter { it.name.startsWith("Wharf-") || it.name == "Retry-After" }
            ?.sortedBy { it.name }
            ?.forEach { lines += "  ${it.name}: ${normalize(it.value)}" }
        lines += "  " + normalize(response?.body?.decodeToString().orEmpty()).trim().trimEnd('.').trim()
    }

    fun record(step: String, result: Result<Report, CommandError>) {
        lines += "$step -> " + result.mapBoth({ it.text }, { "${it.exitCode}: ${it.text}" })
    }

    fun record(line: String) {
        lines += line
    }

    private fun normalize(text: String): String = text
        .replace(Regex("\"incarnation\":\\d+"), "\"incarnation\":N")
        .replace(Regex("(stan|zapis)-mazowsze-a-\\d"), "$1-SERVER")
        .replace(Regex("entry-\\d"), "ENTRY")
        .replace(Regex("127\\.0\\.3\\.\\d+"), "HOST")

    override fun toString(): String = lines.joinToString("\n") + "\n"
}

/** Returns the metrics of requests that were rejected before routing. */
private fun getRefusalCounters(deployment: Deployment, adminAddress: String): List<String> =
    deployment.get("http://$adminAddress/metrics")?.body?.decodeToString().orEmpty().lines()
        .filter { it.startsWith("wharf_refusals_total{") }
        .sorted()

class WholeSessionTest : FunSpec({
    test("`a complete session matches its golden file`") {
        val transcript = Transcript()
        Deployment().use { deployment ->
            deployment.start()
            val entry = deployment.entries.first()
            val base = "http://${entry.callerAddress}"
            val run = "$base/run"
            val key = { value: String -> HttpField("Idempotency-Key", value) }

            transcript.record("look-up", deployment.get("$base/lookup?service=stan&client=127.10.0.1"))
            transcript.record("look-up of nothing", deployment.get("$base/lookup?service=none&client=127.10.0.1"))
            transcript.record("look-up for nobody", deployment.get("$base/lookup?service=stan&client=10.0.0.1"))
            transcript.record("read", deployment.get("$run/stan/item/1", client))
            transcript.record("booking", deployment.post("$run/zapis/book", "chisel", client, key("k1")))
            eventually("the response is recorded") {
                deployment.post("$run/zapis/book", "chisel", client, key("k1"))?.status == 200
            }
            transcript.record("booking again", deployment.post("$run/zapis/book", "chisel", client, key("k1")))
            transcript.record("key with another body", deployment.post("$run/zapis/book", "plane", client, key("k1")))
            transcript.record("booking without a key", deployment.post("$run/zapis/book", "chisel", client))
            transcript.record("unknown service", deployment.get("$run/none/x", client))
            val deadline = HttpField("Wharf-Deadline-Ms", "soon")
            transcript.record("bad deadline", deployment.get("$run/stan/x", client, deadline))
            transcript.record(
                "short deadline",
                deployment.get("$run/$SLOW_SERVICE/x", client, HttpField("Wharf-Deadline-Ms", "10000"))
            )
            val largeHead = "GET /run/stan/x HTTP/1.1\r\nHost: x\r\nX-Large: ${"x".repeat(9_000)}\r\n\r\n"
            transcript.record("head too large -> " + sendRawRequest(entry.host, 8_000, largeHead))
            val fields = "Host: x\r\nIdempotency-Key: k3\r\nContent-Length: 9"
            val shortBody = "POST /run/zapis/x HTTP/1.1\r\n$fields\r\n\r\nhalf"
            transcript.record("body truncated -> " + sendRawRequest(entry.host, 8_000, shortBody))
            val body = "x".repeat(1_100_000)
            transcript.record("body too large", deployment.post("$run/zapis/book", body, client, key("k2")))
            transcript.record("refusals counted -> " + getRefusalCounters(deployment, entry.adminAddress))

            val conflictingPromotion = deployment.environments
                .promote(DocumentVersion(1), DocumentVersion.NONE, deployment.createAction())
            transcript.record("promotion that lost the race", conflictingPromotion)
            val invalidDrain = Drain(ZoneName("mazowsze"), startsAtEpochSeconds = 20, endsAtEpochSeconds = 10)
            val rejectedDrain = deployment.environments
                .changeDrains("drain", deployment.createAction()) { it + invalidDrain }
            transcript.record("drain that fits no zone", rejectedDrain)
            val drain = Drain(ZoneName("mazowsze-a"))
            transcript.record(
                "drain",
                deployment.environments.changeDrains("drain", deployment.createAction()) { it + drain }
            )
            eventually("the drain is in force") { deployment.entries.all { deployment.getDocumentVersion(it) == 2 } }
            transcript.record("read while drained", deployment.get("$run/stan/item/2", client))

            deployment.entries.forEach { it.terminate() }
            transcript.record("entries stopped with " + deployment.entries.map { it.awaitExit() })
        }
        if (System.getProperty("golden.update") == "true") Files.writeString(golden, transcript.toString())
        transcript.toString() shouldBe Files.readString(golden)
    }
})
