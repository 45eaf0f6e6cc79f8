/*
 * A simulated caller that follows the rules of the caller API: it retries a request that was not run at the next
 * instance, retries a read whose outcome is unknown, sends a booking with the same key on every attempt, and uses a
 * binding only from a response that refused the request as not run.
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

private const val MAX_ATTEMPTS = 3
private const val UNREACHED = "unreached"
private const val BROKEN = "broken"

/** Represents a request of a client. */
public data class CallerRequest(
    public val service: String,
    public val kind: RequestKind,
    public val client: String,
    public val number: Long,
    public val key: String,
)

/**
 * Represents the result of a request after all attempts.
 *
 * @param outcome `ran`, `not-run`, `unknown`, `broken` when the connection was lost, or `unreached` when no instance
 *     could be reached.
 * @param wrongResponse the response, when it belongs to another request.
 */
public data class CallerResult(
    public val outcome: String,
    public val reason: String,
    public val attempts: Int,
    public val wrongResponse: WrongResponse? = null,
)

/** Sends requests as a caller does. */
public class CallerStandin(
    private val httpClient: HttpClient,
    private val lookups: LookupCache,
    private val clock: Clock,
    private val deadlineMs: Long,
) {
    /** Sends [request] until it succeeds, must not be retried, or runs out of time or attempts. */
    public fun run(request: CallerRequest): CallerResult {
        val deadlineAtMs = clock.nowMs() + deadlineMs
        val addresses = lookups.find(request.service, request.client)
        var result = CallerResult(UNREACHED, UNREACHED, 0)
        var binding: String? = null
        var nextIndex = 0
        while (result.attempts < MAX_ATTEMPTS && addresses.isNotEmpty() && clock.nowMs() < deadlineAtMs) {
            val address = addresses[nextIndex % addresses.size]
            val response = send(address, request, binding, deadlineAtMs - clock.nowMs())
            result = toResult(response, request, result.attempts + 1)
            if (!isRetryable(result, request)) return result
            binding = response?.findHeader(HeaderNames.BINDING)
            if (binding == null) nextIndex++
        }
        return result
    }

    private fun isRetryable(result: CallerResult, request: CallerRequest): Boolean = when (result.outcome) {
        Outcome.NOT_RUN.code, UNREACHED -> true
        Outcome.UNKNOWN.code, BROKEN -> request.kind == RequestKind.READ
        else -> false
    }

    private fun send(address: String, request: CallerRequest, binding: String?, remainingMs: Long): HttpResponse? {
        val isBooking = request.kind == RequestKind.BOOKING
        val fields = listOfNotNull(
            HttpField(HeaderNames.DEADLINE_MS, remainingMs.coerceAtLeast(1).toString()),
            HttpField("Wharf-Client", request.client),
            if (isBooking) HttpField(HeaderNames.IDEMPOTENCY_KEY, request.key) else null,
            binding?.let { HttpField(HeaderNames.BINDING, it) },
        )
        val call = HttpCall(
            method = if (isBooking) "POST" else "GET",
            url = "http://$address/run/${request.service}${getItemPath(request)}",
            headers = fields,
            body = if (isBooking) "booking ${request.key}".toByteArray() else ByteArray(0),
            timeoutMs = remainingMs.coerceAtLeast(1),
        )
        return when (val result = httpClient.call(call)) {
            is HttpResult.Completed -> result.response
            is HttpResult.NotSent -> null
            is HttpResult.Lost -> lostResponse
        }
    }

    private fun toResult(response: HttpResponse?, request: CallerRequest, attempts: Int): CallerResult {
        val outcome = response?.findHeader(HeaderNames.OUTCOME)
        return when {
            response == null -> CallerResult(UNREACHED, UNREACHED, attempts)
            outcome == null -> CallerResult(BROKEN, "connection", attempts)
            else -> {
                val reason = response.findHeader(HeaderNames.REASON).orEmpty()
                CallerResult(outcome, reason, attempts, findWrongResponse(response, request))
            }
        }
    }

    /** Returns the response if it belongs to another request: server stand-ins repeat the request path in the body. */
    private fun findWrongResponse(response: HttpResponse, request: CallerRequest): WrongResponse? {
        val hasRun = response.findHeader(HeaderNames.OUTCOME) == Outcome.RAN.code
        val isMatching = response.body.decodeToString().contains(" ${getItemPath(request)}\n")
        return if (hasRun && !isMatching) createWrongResponse(request.service, getItemPath(request), response) else null
    }

    private fun getItemPath(request: CallerRequest): String = "/item/${request.number}"

    private companion object {
        val lostResponse = HttpResponse(0, emptyList(), ByteArray(0))
    }
}
