/*
 * Tests, on the whole path from the caller port to a backend server, which callers get an answer and what the server
 * learns about them.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.cardamomwharf.core.TeamName
import org.cardamomwharf.forward.support.ForwardingGateway
import org.cardamomwharf.forward.support.ScriptedServer
import org.cardamomwharf.forward.support.findRequestId
import org.cardamomwharf.forward.support.responseText
import org.cardamomwharf.steering.desired.Team
import org.cardamomwharf.steering.desired.TeamKey
import java.util.concurrent.CopyOnWriteArrayList

private const val KEY = "key-of-weavers"
private val teams = listOf(
    Team(TeamName("weavers"), setOf(TeamKey(KEY), TeamKey("second-key"))),
    Team(TeamName("dyers"), setOf(TeamKey("key-of-dyers"))),
)

private fun request(path: String, vararg fields: String) =
    "GET $path HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n" +
        fields.joinToString("") { "$it\r\n" } + "Connection: close\r\n\r\n"

/** Sends requests to a gateway in front of a server that keeps the heads that it receives. */
private class Scene(teams: List<Team>?) : AutoCloseable {
    val heads = CopyOnWriteArrayList<List<String>>()
    private val server = ScriptedServer { connection, _ ->
        generateSequence { connection.readHead() }.forEach {
            heads += it
            connection.send(responseText(findRequestId(it)))
        }
    }
    val gateway = ForwardingGateway(server.address, teams = teams)

    /** Removes the only head that the server received and returns its lines about the caller. */
    fun takeSentOn(): List<String> {
        val head = heads.single()
        heads.clear()
        return head.filter { it.startsWith("Api-Key", true) || it.startsWith("X-Tenant", true) }
    }

    override fun close() {
        gateway.close()
        server.close()
    }
}

class TeamKeyForwardingTest : FunSpec({
    test("`the server learns the team of a caller with one of its keys, not the key`") {
        Scene(teams).use { scene ->
            listOf(KEY, "second-key").forEach { key ->
                scene.gateway.exchange(request("/r/x", "Api-Key: $key")) shouldContain "200 OK"
                scene.takeSentOn() shouldContainExactly listOf("X-Tenant: weavers")
            }
        }
    }

    // Guards against callers that name another team, in other letters, several times or as a field of this hop.
    test("`what a caller states about its team is replaced`") {
        val stated = arrayOf("X-Tenant: dyers", "x-tenant: dyers", "Connection: X-Tenant", "api-key: $KEY")
        Scene(teams).use {
            it.gateway.exchange(request("/r/x", *stated)) shouldContain "200 OK"
            it.takeSentOn() shouldContainExactly listOf("X-Tenant: weavers")
        }
    }

    test("`a request without a single known key is rejected`") {
        val forms = listOf(
            emptyArray(),
            arrayOf("Api-Key:"),
            arrayOf("Api-Key: weavers"),
            arrayOf("Api-Key: Bearer $KEY"),
            arrayOf("Api-Key: ${KEY.uppercase()}"),
            arrayOf("Api-Key: $KEY,key-of-dyers"),
            arrayOf("Api-Key: $KEY", "Api-Key: key-of-dyers"),
            arrayOf("X-Tenant: weavers"),
        )
        Scene(teams).use { scene ->
            forms.forEach {
                val response = scene.gateway.exchange(request("/r/x", *it))
                response shouldContain "401 Unauthorized"
                response shouldContain "unknown-key"
            }
            scene.heads.shouldBeEmpty()
            scene.gateway.traces.map { it.outcome to it.status }.distinct() shouldBe listOf("unknown-key" to 401)
        }
    }

    test("`a public route needs no key and passes none on`") {
        Scene(teams).use { scene ->
            listOf(emptyArray(), arrayOf("Api-Key: $KEY", "X-Tenant: dyers"), arrayOf("Api-Key: nobody's")).forEach {
                scene.gateway.exchange(request("/open/x", *it)) shouldContain "200 OK"
                scene.takeSentOn().shouldBeEmpty()
            }
        }
    }

    test("`a configuration without teams leaves the field of the key to the servers, but not that of the team`") {
        Scene(emptyList()).use {
            it.gateway.exchange(request("/r/x", "Api-Key: own", "X-Tenant: dyers")) shouldContain "200 OK"
            it.takeSentOn() shouldContainExactly listOf("Api-Key: own")
        }
    }

    // Guards against callers that discard a valid key because an instance has just started.
    test("`no key is called unknown before a configuration is known`") {
        Scene(null).use {
            val response = it.gateway.exchange(request("/r/x", "Api-Key: $KEY"))
            response shouldContain "503 Service Unavailable"
            response shouldContain "Retry-After: 0.300"
        }
    }

    test("`traces and responses don't contain the key`") {
        Scene(teams).use {
            it.gateway.exchange(request("/r/x", "Api-Key: $KEY")) shouldNotContain KEY
            it.gateway.exchange(request("/r/x", "Api-Key: $KEY-2")) shouldNotContain KEY
            it.gateway.traces.size shouldBe 2
            it.gateway.traces.toString() shouldNotContain KEY
        }
    }
})
