/*
 * Generates the head of a request to a backend server.
 */
package org.cardamomwharf.forward.server

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.cardamomwharf.forward.headBytesOf
import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpGenerator
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpURI
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.http.MetaData
import org.eclipse.jetty.util.BufferUtil
import java.nio.ByteBuffer

/** Returns the head of a request to [target] with [fields] and the length of [body]. */
internal fun generateHead(
    method: String,
    target: String,
    fields: HttpFields,
    body: ByteBuffer?,
): Result<ByteBuffer, HeadError> = try {
    val length = body?.remaining()?.toLong()
    val allFields = HttpFields.build(fields)
    length?.let { allFields.put(HttpHeader.CONTENT_LENGTH, it) }
    val meta = MetaData.Request(method, HttpURI.from(target), HttpVersion.HTTP_1_1, allFields, length ?: 0L)
    val head = BufferUtil.allocate(method.length + target.length + headBytesOf(allFields))
    val result = HttpGenerator().generateRequest(meta, head, null, body?.duplicate(), true)
    if (result == HttpGenerator.Result.FLUSH) Ok(head) else Err(HeadError.Incomplete(result.name))
} catch (e: IllegalArgumentException) {
    Err(HeadError.Invalid(e))
} catch (e: HttpException.RuntimeException) {
    Err(HeadError.Invalid(e))
}
