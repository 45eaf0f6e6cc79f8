/*
 * Tests which requests count as the same one when they come again.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cardamomwharf.core.TeamName
import org.cardamomwharf.platform.HeaderNames
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import java.nio.ByteBuffer

class RequestFingerprintTest : FunSpec({
    fun headers(id: String, caller: String = "c", host: String = "h") = HttpFields.build()
        .put(HttpHeader.HOST, host)
        .put(HttpHeader.AUTHORIZATION, caller)
        .put(HeaderNames.REQUEST_ID, id)
        .put(HeaderNames.DEADLINE_MS, "1$id")

    fun body(text: String) = ByteBuffer.wrap(text.toByteArray())
    val known = fingerprintOf("POST", "/a?b=1", headers("1"), body("x"))

    test("`a request that comes again under another ID and deadline has the same fingerprint`") {
        fingerprintOf("POST", "/a?b=1", headers("2"), body("x")) shouldBe known
    }

    test("`requests of other callers, for other addresses or with other bodies have other fingerprints`") {
        fingerprintOf("GET", "/a?b=1", headers("1"), body("x")) shouldNotBe known
        fingerprintOf("POST", "/a?b=2", headers("1"), body("x")) shouldNotBe known
        fingerprintOf("POST", "/a?b=1", headers("1", caller = "d"), body("x")) shouldNotBe known
        fingerprintOf("POST", "/a?b=1", headers("1", host = "i"), body("x")) shouldNotBe known
        fingerprintOf("POST", "/a?b=1", headers("1"), body("y")) shouldNotBe known
        fingerprintOf("POST", "/a?b=1", headers("1"), null) shouldNotBe known
    }

    test("`requests of different teams have different fingerprints`") {
        val ofTeams = listOf("a", "b").map { fingerprintOf("POST", "/a?b=1", headers("1"), body("x"), TeamName(it)) }
        (ofTeams + known).distinct().size shouldBe 3
        fingerprintOf("POST", "/a?b=1", headers("2"), body("x"), TeamName("a")) shouldBe ofTeams.first()
    }

    test("`the body can still be read`") {
        val body = body("x")
        fingerprintOf("POST", "/a", headers("1"), body)
        body.remaining() shouldBe 1
    }
})
