/*
 * Recognizes request heads in bytes that a caller sends while the response to an earlier request is pending. Only heads
 * of requests that have no body and a safe method can be handled before their turn.
 */
package org.cardamomwharf.forward.listener

import org.eclipse.jetty.http.HttpCompliance
import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.http.HttpFields
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.http.HttpHeaderValue
import org.eclipse.jetty.http.HttpMethod
import org.eclipse.jetty.http.HttpParser
import org.eclipse.jetty.http.HttpVersion
import java.nio.ByteBuffer

private val safeMethods = setOf(HttpMethod.GET.asString(), HttpMethod.HEAD.asString())

/** Fields of requests that have a body or change how the connection is used. */
private val excludedFields =
    listOf(HttpHeader.CONTENT_LENGTH, HttpHeader.TRANSFER_ENCODING, HttpHeader.EXPECT, HttpHeader.UPGRADE)

/** Represents the head of a request. */
internal class RequestHead(
    val method: String,
    val target: String,
    val version: HttpVersion?,
    val fields: HttpFields,
) {
    /** True for a request whose end is the end of its head and that asks for nothing but a response. */
    val isSafeAndBodiless: Boolean
        get() = method in safeMethods && target.startsWith("/") && version == HttpVersion.HTTP_1_1 &&
            excludedFields.none { it in fields }

    /** True if the caller expects the connection to be closed after the response. */
    val isLast: Boolean get() = fields.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString())
}

/** Splits a stream of bytes into request heads with the parser and the limits of the connection. */
internal class RequestScanner(maxHeadBytes: Int) : HttpParser.RequestHandler {
    private val parser = HttpParser(this, maxHeadBytes, HttpCompliance.RFC9110).apply { headerCacheSize = 0 }
    private var method = ""
    private var target = ""
    private var version: HttpVersion? = null
    private var fields = HttpFields.build()
    private var isHeadComplete = false

    /** True after bytes that are no request; nothing behind them can be recognized. */
    var isMalformed = false
        private set

    /** Consumes [input] up to the end of a head and returns the head, or consumes all and returns null. */
    fun scan(input: ByteBuffer): RequestHead? {
        parser.parseNext(input)
        if (!isHeadComplete) return null
        val head = RequestHead(method, target, version, fields.asImmutable())
        parser.reset()
        fields = HttpFields.build()
        isHeadComplete = false
        return head
    }

    override fun startRequest(method: String, uri: String, version: HttpVersion?) {
        this.method = method
        target = uri
        this.version = version
    }

    override fun parsedHeader(field: HttpField) {
        fields.add(field)
    }

    override fun headerComplete(): Boolean = true.also { isHeadComplete = true }

    override fun content(content: ByteBuffer): Boolean = true

    override fun contentComplete(): Boolean = false

    override fun messageComplete(): Boolean = true

    override fun earlyEOF() {
        isMalformed = true
    }

    override fun badMessage(failure: HttpException) {
        isMalformed = true
    }
}
