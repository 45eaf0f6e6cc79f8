/*
 * Answers callers that ask which instances to use, and the platform's question whether this instance is ready.
 */
package org.cardamomwharf.gateway.directory

import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.forward.listener.AsyncHandler
import org.cardamomwharf.platform.decodeCallerLocation
import org.cardamomwharf.platform.encodeDirectoryResponse
import org.cardamomwharf.steering.InstanceLocation
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.instances.chooseInstances
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.nio.ByteBuffer

/** Time for which callers keep an answer; short, so that they leave an instance that stops before it ends. */
private const val CACHE_TTL_S = 2

/** Largest number of addresses that a caller takes. */
private const val MAX_ADDRESSES = 64

/** Returns the handler for the directory. */
internal fun createDirectoryHandler(
    place: InstanceLocation,
    watch: DirectoryScopeLog,
    serving: () -> List<InstanceRecord>,
): AsyncHandler =
    AsyncHandler { request, response, callback ->
        val query = Request.extractQueryParameters(request)
        val asked = decodeCallerLocation(query::getValue)
        val choice = chooseInstances(serving(), place.regions, asked.zone, asked.region)
        watch.note(asked.zone?.takeIf { it in place.regions }, choice)
        val chosen = choice.instances.take(MAX_ADDRESSES)
        val body = encodeDirectoryResponse(chosen.map { it.callerAddress }, CACHE_TTL_S)
        response.headers.put(HttpHeader.CONTENT_TYPE, "application/json")
        write(StatusCode.OK, body, response, callback)
    }

/** Returns the handler for the question whether this instance is ready. */
internal fun createReadinessHandler(isReady: () -> Boolean): AsyncHandler = AsyncHandler { _, response, callback ->
    val status = if (isReady()) StatusCode.OK else StatusCode.UNAVAILABLE
    write(status, if (status == StatusCode.OK) "ready\n" else "not ready\n", response, callback)
}

private fun write(status: Int, text: String, response: Response, callback: Callback) {
    response.status = status
    response.write(true, ByteBuffer.wrap(text.toByteArray()), callback)
}
