/*
 * HTTP handlers for the directory, which lists the instances that a caller should use, and for the readiness probe.
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

/** Cache lifetime of a response at callers; short, so that they leave a stopping instance before it exits. */
private const val CACHE_TTL_S = 2

/** Maximum number of addresses that a caller accepts. */
private const val MAX_ADDRESSES = 64

/** Returns the handler that lists the instances closest to a caller, out of those returned by [serving]. */
internal fun createDirectoryHandler(
    location: InstanceLocation,
    scopeLog: DirectoryScopeLog,
    serving: () -> List<InstanceRecord>,
): AsyncHandler =
    AsyncHandler { request, response, callback ->
        val query = Request.extractQueryParameters(request)
        val callerLocation = decodeCallerLocation(query::getValue)
        val choice = chooseInstances(serving(), location.regions, callerLocation.zone, callerLocation.region)
        scopeLog.record(callerLocation.zone?.takeIf { it in location.regions }, choice)
        val chosen = choice.instances.take(MAX_ADDRESSES)
        val body = encodeDirectoryResponse(chosen.map { it.callerAddress }, CACHE_TTL_S)
        response.headers.put(HttpHeader.CONTENT_TYPE, "application/json")
        write(StatusCode.OK, body, response, callback)
    }

/** Returns the handler of the readiness probe. */
internal fun createReadinessHandler(isReady: () -> Boolean): AsyncHandler = AsyncHandler { _, response, callback ->
    val status = if (isReady()) StatusCode.OK else StatusCode.UNAVAILABLE
    write(status, if (status == StatusCode.OK) "ready\n" else "not ready\n", response, callback)
}

private fun write(status: Int, text: String, response: Response, callback: Callback) {
    response.status = status
    response.write(true, ByteBuffer.wrap(text.toByteArray()), callback)
}
