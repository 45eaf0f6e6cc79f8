/*
 * A request of a caller, parsed and checked, or the reason why it can't be taken.
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

/** The path under which services are reached. */
public const val RUN_PREFIX: String = "/run/"

private const val LARGEST_KEY_CHARACTERS = 200
private val keyPattern = Regex("[!-~]{1,$LARGEST_KEY_CHARACTERS}")

/** Header fields that belong to one connection and are never passed on. */
private val hopFields = setOf(
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade", "te", "trailer", "host",
    "content-length", "expect",
    HeaderNames.DEADLINE_MS.lowercase(), HeaderNames.BINDING.lowercase(), HeaderNames.ATTEMPT.lowercase(),
)

/**
 * Represents a checked request.
 *
 * @param deadlineMs time that is left for the whole answer.
 */
public class CallerRequest(
    public val service: ServiceName,
    public val isSafeMethod: Boolean,
    public val handed: HandedOverRequest,
    public val deadlineMs: Long,
    public val identity: RequestIdentity,
)

/** Represents the idempotency key of a request and the incarnation it is bound to. */
public data class RequestIdentity(public val key: String?, public val binding: Binding?)

/** Returns the checked request, or the reason for which it is refused. */
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
                handed = handedOf(request, service),
                deadlineMs = deadlineMs,
                identity = identity,
            ),
        )
    }
}

private fun readDeadline(request: Request, times: EntryTimes): Long? {
    val text = request.header(HeaderNames.DEADLINE_MS) ?: return times.defaultDeadlineMs
    return text.toLongOrNull()?.takeIf { it in 1..times.largestDeadlineMs }
}

private fun readIdentity(request: Request): RequestIdentity? {
    val key = request.header(HeaderNames.IDEMPOTENCY_KEY)
    val bindingText = request.header(HeaderNames.BINDING)
    val binding = bindingText?.let { Binding.parse(it) }
    val isKeyFine = key == null || keyPattern.matches(key)
    val isBindingFine = (bindingText == null) == (binding == null)
    return if (isKeyFine && isBindingFine) RequestIdentity(key, binding) else null
}

private fun handedOf(request: Request, service: String): HandedOverRequest {
    val payload = request.body.payload.duplicate()
    val body = ByteArray(payload.remaining()).also { payload.get(it) }
    val path = request.uri.path.removePrefix(RUN_PREFIX + service).ifEmpty { "/" }
    val query = if (request.uri.query.isEmpty()) "" else "?" + request.uri.query
    val fields = request.headers
        .filter { it.first.lowercase() !in hopFields }
        .map { HandedOverField(it.first, it.second.orEmpty()) }
    val identity = "${request.method} $path$query\n".toByteArray() + body
    return HandedOverRequest(request.method.name, path + query, fields, body, identity.sha256Hex())
}

/** Returns the fields of an answer that may be passed on. */
public fun passableFields(fields: List<HandedOverField>): List<HandedOverField> =
    fields.filter { it.name.lowercase() !in hopFields && !it.name.startsWith("Wharf-", ignoreCase = true) }
