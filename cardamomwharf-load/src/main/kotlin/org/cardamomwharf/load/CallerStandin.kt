/*
 * Stands in for a caller. It follows the rules of the caller API: a request that was not run goes to the next
 * instance, a read is repeated once, a booking keeps its key on every try and takes a binding only after it was
 * refused as not run.
 */
package org.cardamomwharf.load

import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call

private const val LARGEST_TRIES = 3
private const val UNREACHED = "unreached"
private const val BROKEN = "broken"

/** Represents one request of a client. */
public data class CallerTask(
    public val service: String,
    public val kind: RequestKind,
    public val client: String,
    public val number: Long,
    public val key: String,
)

/**
 * Represents how a request ended.
 *
 * @param outcome `ran`, `not-run`, `unknown`, or `unreached` when no instance answered.
 * @param wrong the answer, when it was not the answer to this request.
 */
public data class CallerEnd(
    public val outcome: String,
    public val reason: String,
    public val tries: Int,
    public val wrong: WrongAnswer? = null,
)

/** Represents a caller. */
public class CallerStandin(
    private val caller: HttpClient,
    private val lookups: LookupCache,
    private val clock: Clock,
    private val deadlineMs: Long,
) {
    /** Returns how [task] ended. */
    public fun run(task: CallerTask): CallerEnd {
        val endAtMs = clock.nowMs() + deadlineMs
        val addresses = lookups.find(task.service, task.client)
        var end = CallerEnd(UNREACHED, UNREACHED, 0)
        var binding: String? = null
        var next = 0
        while (end.tries < LARGEST_TRIES && addresses.isNotEmpty() && clock.nowMs() < endAtMs) {
            val address = addresses[next % addresses.size]
            val answer = send(address, task, binding, endAtMs - clock.nowMs())
            end = judge(answer, task, end.tries + 1)
            if (!mayRepeat(end, task)) return end
            binding = answer?.findHeader(HeaderNames.BINDING)
            if (binding == null) next++
        }
        return end
    }

    private fun mayRepeat(end: CallerEnd, task: CallerTask): Boolean = when (end.outcome) {
        Outcome.NOT_RUN.code, UNREACHED -> true
        Outcome.UNKNOWN.code, BROKEN -> task.kind == RequestKind.READ
        else -> false
    }

    private fun send(address: String, task: CallerTask, binding: String?, remainingMs: Long): HttpResponse? {
        val isBooking = task.kind == RequestKind.BOOKING
        val fields = listOfNotNull(
            HttpField(HeaderNames.DEADLINE_MS, remainingMs.coerceAtLeast(1).toString()),
            HttpField("Wharf-Client", task.client),
            if (isBooking) HttpField(HeaderNames.IDEMPOTENCY_KEY, task.key) else null,
            binding?.let { HttpField(HeaderNames.BINDING, it) },
        )
        val call = HttpCall(
            method = if (isBooking) "POST" else "GET",
            url = "http://$address/run/${task.service}${pathOf(task)}",
            headers = fields,
            body = if (isBooking) "booking ${task.key}".toByteArray() else ByteArray(0),
            timeoutMs = remainingMs.coerceAtLeast(1),
        )
        return when (val end = caller.call(call)) {
            is HttpResult.Completed -> end.response
            is HttpResult.NotSent -> null
            is HttpResult.Lost -> brokenAnswer
        }
    }

    private fun judge(answer: HttpResponse?, task: CallerTask, tries: Int): CallerEnd {
        val outcome = answer?.findHeader(HeaderNames.OUTCOME)
        return when {
            answer == null -> CallerEnd(UNREACHED, UNREACHED, tries)
            outcome == null -> CallerEnd(BROKEN, "connection", tries)
            else -> CallerEnd(outcome, answer.findHeader(HeaderNames.REASON).orEmpty(), tries, findWrong(answer, task))
        }
    }

    /** An answer that ran must be of this request: backend servers repeat the path in their answer. */
    private fun findWrong(answer: HttpResponse, task: CallerTask): WrongAnswer? {
        val isRan = answer.findHeader(HeaderNames.OUTCOME) == Outcome.RAN.code
        val isOwn = answer.body.decodeToString().contains(" ${pathOf(task)}\n")
        return if (isRan && !isOwn) wrongAnswerOf(task.service, pathOf(task), answer) else null
    }

    private fun pathOf(task: CallerTask): String = "/item/${task.number}"

    private companion object {
        val brokenAnswer = HttpResponse(0, emptyList(), ByteArray(0))
    }
}
