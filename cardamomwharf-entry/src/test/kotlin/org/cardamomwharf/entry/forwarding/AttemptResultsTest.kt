/*
 * Tests the conversion of responses of backend servers to attempt results.
 */
package org.cardamomwharf.entry.forwarding

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Reason
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult

private val ownAttempt = AttemptId("own")

private fun createResult(vararg fields: Pair<String, String>): AttemptResult {
    val response = HttpResponse(200, fields.map { (name, value) -> HttpField(name, value) }, ByteArray(0))
    return createAttemptResult(HttpResult.Completed(response), ownAttempt, isIdempotent = true)
}

class AttemptResultsTest : FunSpec({
    test("`a refusal with the ID of another attempt leaves the outcome of this attempt unknown`") {
        createResult(HeaderNames.REFUSED to "true", HeaderNames.ATTEMPT to "other") shouldBe
            AttemptResult.Lost(Reason.ANSWER_CROSSED)
    }

    test("`completed and refused results record whether the response has the attempt ID`") {
        createResult(HeaderNames.ATTEMPT to "own") shouldBe AttemptResult.Completed(hasAttemptId = true)
        createResult() shouldBe AttemptResult.Completed(hasAttemptId = false)
        createResult(HeaderNames.REFUSED to "true", HeaderNames.ATTEMPT to "own") shouldBe
            AttemptResult.Refused(Reason.SERVER_REFUSED, hasAttemptId = true)
    }
})
