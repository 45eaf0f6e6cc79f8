/*
 * Adds the outcome and reason headers to responses for requests that Jetty itself refuses, such as an oversized head.
 */
package org.cardamomwharf.http

import org.cardamomwharf.core.HeaderNames
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.StatusCode
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.handler.ErrorHandler
import org.eclipse.jetty.util.Callback
import java.nio.ByteBuffer

internal class RefusalErrorHandler(private val onRefusal: (Reason) -> Unit) : ErrorHandler() {
    override fun badMessageError(status: Int, reason: String?, fields: HttpFields.Mutable): ByteBuffer {
        val refusal = reportRefusal(status)
        fields.put(HeaderNames.OUTCOME, refusal.outcome.code)
        fields.put(HeaderNames.REASON, refusal.code)
        fields.put(HttpHeader.CONTENT_TYPE, "text/plain")
        return ByteBuffer.wrap(refusal.code.toByteArray())
    }

    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val refusal = reportRefusal(response.status)
        response.headers.put(HeaderNames.OUTCOME, refusal.outcome.code)
        response.headers.put(HeaderNames.REASON, refusal.code)
        response.write(true, ByteBuffer.wrap(refusal.code.toByteArray()), callback)
        return true
    }

    private fun reportRefusal(status: Int): Reason {
        val refusal = when (status) {
            StatusCode.HEAD_TOO_LARGE -> Reason.HEAD_TOO_LARGE
            in StatusCode.BAD_REQUEST until StatusCode.INTERNAL_ERROR -> Reason.BAD_REQUEST
            else -> Reason.INTERNAL_ERROR
        }
        onRefusal(refusal)
        return refusal
    }
}
