/*
 * Creates connections that each have a configuration of their own, so that the buffer for a response head can have the
 * size that the response needs. In Jetty 12.1.5, a response whose head outgrows the buffer reports success and is never
 * written.
 */
package org.cardamomwharf.forward.listener

import org.cardamomwharf.forward.headBytesOf
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.internal.HttpConnection

internal class CallerConnectionFactory(configuration: HttpConfiguration) : HttpConnectionFactory(configuration) {
    override fun newConnection(connector: Connector, endPoint: EndPoint): Connection {
        val connection = HttpConnection(HttpConfiguration(httpConfiguration), connector, endPoint)
        connection.isUseInputDirectByteBuffers = isUseInputDirectByteBuffers
        connection.isUseOutputDirectByteBuffers = isUseOutputDirectByteBuffers
        return configure(connection, connector, endPoint)
    }
}

/**
 * Enlarges the buffer for the head of this response if needed; must be called before the response is written. The head
 * of a response that is held needs the buffer only in its turn.
 */
internal fun Response.reserveHead() {
    if (request is AheadRequest) return
    val configuration = request.connectionMetaData.httpConfiguration
    val neededBytes = headBytesOf(headers)
    if (neededBytes > configuration.responseHeaderSize) configuration.responseHeaderSize = neededBytes
}

/**
 * Closes the connection after this response, or after the last response to the requests that were started before their
 * turn.
 */
internal fun Response.closeConnection() {
    val endPoint = request.connectionMetaData.connection.endPoint as? CallerEndPoint
    if (request is AheadRequest || endPoint?.ahead?.isNotEmpty != true) headers.put(HttpHeader.CONNECTION, "close")
}
