/*
 * What answers of backend servers mean for the attempt that they meet.
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

private val own = AttemptId("own")

private fun resultOf(vararg fields: Pair<String, String>): AttemptResult {
    val answer = HttpResponse(200, fields.map { (name, value) -> HttpField(name, value) }, ByteArray(0))
    return attemptResultOf(HttpResult.Completed(answer), own, isIdempotent = true)
}

class AttemptResultsTest : FunSpec({
    test("`a refusal of another attempt says nothing about this one`") {
        resultOf(HeaderNames.REFUSED to "true", HeaderNames.ATTEMPT to "other") shouldBe
            AttemptResult.Lost(Reason.ANSWER_CROSSED)
    }

    test("`answers and refusals tell whether they name their attempt`") {
        resultOf(HeaderNames.ATTEMPT to "own") shouldBe AttemptResult.Completed(hasAttemptId = true)
        resultOf() shouldBe AttemptResult.Completed(hasAttemptId = false)
        resultOf(HeaderNames.REFUSED to "true", HeaderNames.ATTEMPT to "own") shouldBe
            AttemptResult.Refused(Reason.SERVER_REFUSED, hasAttemptId = true)
    }
})
