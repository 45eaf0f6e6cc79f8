/*
 * A whole session through real processes, compared with a golden file: submit, promote, look-up, read, booking, bad
 * input, drain, stop. Numbers that differ from run to run are replaced by their names.
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
import org.cardamomwharf.dist.support.callRaw
import org.cardamomwharf.dist.support.eventually
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path

private val golden = Path.of("src/test/resources/golden/whole-session.txt")
private val client = HttpField("Wharf-Client", "127.10.0.1")

private class Transcript {
    private val lines = mutableListOf<String>()

    fun note(what: String, answer: HttpResponse?) {
        lines += "$what -> ${answer?.status}"
        answer?.headers
            ?.filter { it.name.startsWith("Wharf-") || it.name == "Retry-After" }
            ?.sortedBy { it.name }
            ?.forEach { lines += "  ${it.name}: ${normal(it.value)}" }
        lines += "  " + normal(answer?.body?.decodeToString().orEmpty()).trim().trimEnd('.').trim()
    }

    fun note(what: String, result: Result<Report, CommandError>) {
        lines += "$what -> " + result.mapBoth({ it.text }, { "${it.exitCode}: ${it.text}" })
    }

    fun note(line: String) {
        lines += line
    }

    private fun normal(text: String): String = text
        .replace(Regex("\"incarnation\":\\d+"), "\"incarnation\":N")
        .replace(Regex("(stan|zapis)-mazowsze-a-\\d"), "$1-SERVER")
        .replace(Regex("entry-\\d"), "ENTRY")
        .replace(Regex("127\\.0\\.3\\.\\d+"), "HOST")

    override fun toString(): String = lines.joinToString("\n") + "\n"
}

/** Returns the counters of requests that were refused before a decision. */
private fun countedRefusals(deployment: Deployment, adminAddress: String): List<String> =
    deployment.get("http://$adminAddress/metrics")?.body?.decodeToString().orEmpty().lines()
        .filter { it.startsWith("wharf_refusals_total{") }
        .sorted()

class WholeSessionTest : FunSpec({
    test("`a whole session is the same as its golden file`") {
        val transcript = Transcript()
        Deployment().use { deployment ->
            deployment.start()
            val entry = deployment.entries.first()
            val base = "http://${entry.callerAddress}"
            val run = "$base/run"
            val key = { value: String -> HttpField("Idempotency-Key", value) }

            transcript.note("look-up", deployment.get("$base/lookup?service=stan&client=127.10.0.1"))
            transcript.note("look-up of nothing", deployment.get("$base/lookup?service=none&client=127.10.0.1"))
            transcript.note("look-up for nobody", deployment.get("$base/lookup?service=stan&client=10.0.0.1"))
            transcript.note("read", deployment.get("$run/stan/item/1", client))
            transcript.note("booking", deployment.post("$run/zapis/book", "chisel", client, key("k1")))
            eventually("the answer is recorded") {
                deployment.post("$run/zapis/book", "chisel", client, key("k1"))?.status == 200
            }
            transcript.note("booking again", deployment.post("$run/zapis/book", "chisel", client, key("k1")))
            transcript.note("key with another body", deployment.post("$run/zapis/book", "plane", client, key("k1")))
            transcript.note("booking without a key", deployment.post("$run/zapis/book", "chisel", client))
            transcript.note("unknown service", deployment.get("$run/none/x", client))
            val deadline = HttpField("Wharf-Deadline-Ms", "soon")
            transcript.note("bad deadline", deployment.get("$run/stan/x", client, deadline))
            transcript.note(
                "short deadline",
                deployment.get("$run/$SLOW_SERVICE/x", client, HttpField("Wharf-Deadline-Ms", "10000"))
            )
            val largeHead = "GET /run/stan/x HTTP/1.1\r\nHost: x\r\nX-Large: ${"x".repeat(9_000)}\r\n\r\n"
            transcript.note("head too large -> " + callRaw(entry.host, 8_000, largeHead))
            val fields = "Host: x\r\nIdempotency-Key: k3\r\nContent-Length: 9"
            val shortBody = "POST /run/zapis/x HTTP/1.1\r\n$fields\r\n\r\nhalf"
            transcript.note("body truncated -> " + callRaw(entry.host, 8_000, shortBody))
            val body = "x".repeat(1_100_000)
            transcript.note("body too large", deployment.post("$run/zapis/book", body, client, key("k2")))
            transcript.note("refusals counted -> " + countedRefusals(deployment, entry.adminAddress))

            val late = deployment.environments.promote(DocumentVersion(1), DocumentVersion.NONE, deployment.act())
            transcript.note("promotion that lost the race", late)
            val typing = Drain(ZoneName("mazowsze"), startsAtEpochSeconds = 20, endsAtEpochSeconds = 10)
            val wrong = deployment.environments.changeDrains("drain", deployment.act()) { it + typing }
            transcript.note("drain that fits no zone", wrong)
            val drain = Drain(ZoneName("mazowsze-a"))
            transcript.note("drain", deployment.environments.changeDrains("drain", deployment.act()) { it + drain })
            eventually("the drain is in force") { deployment.entries.all { deployment.version(it) == 2 } }
            transcript.note("read while drained", deployment.get("$run/stan/item/2", client))

            deployment.entries.forEach { it.terminate() }
            transcript.note("entries stopped with " + deployment.entries.map { it.awaitEnd() })
        }
        if (System.getProperty("golden.update") == "true") Files.writeString(golden, transcript.toString())
        transcript.toString() shouldBe Files.readString(golden)
    }
})
