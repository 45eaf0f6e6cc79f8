/*
 * Parses and validates HTTP requests of callers.
 */
package org.cardamomwharf.entry.requests

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.sha256Hex
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.entry.settings.EntryTimes
import org.cardamomwharf.peer.HandedOverField
import org.cardamomwharf.peer.HandedOverRequest
import org.http4k.core.Method
import org.http4k.core.Request

/** The path prefix of requests to services. */
public const val RUN_PREFIX: String = "/run/"

private const val MAX_KEY_CHARACTERS = 200
private val keyPattern = Regex("[!-~]{1,$MAX_KEY_CHARACTERS}")

/** Header fields that apply to a single connection or hop and are never forwarded. */
private val hopByHopFields = setOf(
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade", "te", "trailer", "host",
    "content-length", "expect",
    HeaderNames.DEADLINE_MS.lowercase(), HeaderNames.BINDING.lowercase(), HeaderNames.ATTEMPT.lowercase(),
)

/**
 * Represents a validated request.
 *
 * @param deadlineMs time remaining until the complete response is due.
 */
public class CallerRequest(
    public val service: ServiceName,
    public val isSafeMethod: Boolean,
    public val forwardedRequest: HandedOverRequest,
    public val deadlineMs: Long,
    public val identity: RequestIdentity,
)

/** Represents the idempotency key of a request and the incarnation it is bound to. */
public data class RequestIdentity(public val key: String?, public val binding: Binding?)

/** Returns the validated request, or the reason why it is refused. */
public fun parseRequest(request: Request, times: EntryTimes): Result<CallerRequest, Reason> {
    val deadlineMs = readDeadline(request, times)
    val identity = readIdentity(request)
    val service = request.uri.path.removePrefix(RUN_PREFIX).substringBefore('/')
    return when {
        service.isEmpty() -> Err(Reason.UNKNOWN_SERVICE)
        deadlineMs == null -> Err(Reason.DEADLINE_INVALID)
        identity == null -> Err(Reason.BAD_REQUEST)
        else -> Ok(
            CallerRequest(
                service = ServiceName(service),
                isSafeMethod = request.method == Method.GET || request.method == Method.HEAD,
                forwardedRequest = createForwardedRequest(request, service),
                deadlineMs = deadlineMs,
                identity = identity,
            ),
        )
    }
}

private fun readDeadline(request: Request, times: EntryTimes): Long? {
    val text = request.header(HeaderNames.DEADLINE_MS) ?: return times.defaultDeadlineMs
    return text.toLongOrNull()?.takeIf { it in 1..times.maxDeadlineMs }
}

private fun readIdentity(request: Request): RequestIdentity? {
    val key = request.header(HeaderNames.IDEMPOTENCY_KEY)
    val bindingText = request.header(HeaderNames.BINDING)
    val binding = bindingText?.let { Binding.parse(it) }
    val isKeyValid = key == null || keyPattern.matches(key)
    val isBindingValid = (bindingText == null) == (binding == null)
    return if (isKeyValid && isBindingValid) RequestIdentity(key, binding) else null
}

private fun createForwardedRequest(request: Request, service: String): HandedOverRequest {
    val payload = request.body.payload.duplicate()
    val body = ByteArray(payload.remaining()).also { payload.get(it) }
    val path = request.uri.path.removePrefix(RUN_PREFIX + service).ifEmpty { "/" }
    val query = if (request.uri.query.isEmpty()) "" else "?" + request.uri.query
    val fields = request.headers
        .filter { it.first.lowercase() !in hopByHopFields }
        .map { HandedOverField(it.first, it.second.orEmpty()) }
    val identity = "${request.method} $path$query\n".toByteArray() + body
    return HandedOverRequest(request.method.name, path + query, fields, body, identity.sha256Hex())
}

/** Returns the header fields of a response that may be forwarded to the caller. */
public fun filterForwardableFields(fields: List<HandedOverField>): List<HandedOverField> =
    fields.filter { it.name.lowercase() !in hopByHopFields && !it.name.startsWith("Wharf-", ignoreCase = true) }
