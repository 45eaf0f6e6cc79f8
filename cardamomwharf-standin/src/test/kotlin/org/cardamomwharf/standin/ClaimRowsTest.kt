/*
 * Tests that claim rows expire by the time since their last write, over the platform protocol.
 */
package org.cardamomwharf.standin

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.http.HttpClientSettings
import org.cardamomwharf.http.startJettyHttpClient
import org.cardamomwharf.repository.ClaimTable
import org.cardamomwharf.repository.PlatformError
import org.cardamomwharf.repository.httpTableService

private const val TIMEOUT_MS = 5_000L
private const val DAY_SECONDS = 86_400L

private class ManualClock(var now: Long = 0) : Clock {
    override fun nowMs(): Long = now
}

class ClaimRowsTest : FunSpec({
    val clock = ManualClock()
    val platform = PlatformStandin(clock)
    val server = platform.start(SocketAddress("127.0.5.1", 0))
    val client = startJettyHttpClient(HttpClientSettings("test"))
    val claims = ClaimTable(httpTableService(client, SocketAddress("127.0.5.1", server.port), TIMEOUT_MS))
    afterSpec {
        client.close()
        server.stop()
    }

    test("`only rows that have not been written for the given time are deleted, up to the limit`") {
        listOf("a", "b", "c").forEach { claims.insert(it, "claimed").get() }
        clock.now = (DAY_SECONDS - 1) * 1_000
        claims.replace("c", "done", claims.read("c").get()?.version.orEmpty())
        claims.expire(DAY_SECONDS, limit = 10).get() shouldBe 0
        clock.now = DAY_SECONDS * 1_000
        claims.expire(DAY_SECONDS, limit = 1).get() shouldBe 1
        claims.expire(DAY_SECONDS, limit = 10).get() shouldBe 1
        claims.read("c").get()?.value shouldBe "done"
        listOf("a", "b").forEach { claims.read(it).get() shouldBe null }
    }

    test("`while the service is down, expiry deletes nothing and returns an error`") {
        platform.changeFaults(PlatformFaults(isDown = true))
        claims.expire(DAY_SECONDS, limit = 10).getError() shouldBe PlatformError.Rejected(503)
        platform.changeFaults(PlatformFaults())
    }
})
