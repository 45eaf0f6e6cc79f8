/*
 * Generates the head of a request to a backend server.
 */
package org.cardamomwharf.forward.server

import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpGenerator
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpURI
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.http.MetaData
import org.eclipse.jetty.util.BufferUtil
import java.nio.ByteBuffer

/** Returns the head of [request] with at most [maxBytes] bytes. */
internal fun generateHead(request: ServerRequest, maxBytes: Int): ByteBuffer {
    val length = request.body?.remaining()?.toLong()
    val fields = HttpFields.build(request.fields)
    length?.let { fields.put(HttpHeader.CONTENT_LENGTH, it) }
    val uri = HttpURI.from(request.target)
    val meta = MetaData.Request(request.method, uri, HttpVersion.HTTP_1_1, fields, length ?: 0L)
    val head = BufferUtil.allocate(maxBytes)
    val generator = HttpGenerator()
    var result = generator.generateRequest(meta, null, null, request.body?.duplicate(), true)
    while (result != HttpGenerator.Result.FLUSH && result != HttpGenerator.Result.DONE) {
        result = generator.generateRequest(meta, head, null, request.body?.duplicate(), true)
    }
    return head
}
