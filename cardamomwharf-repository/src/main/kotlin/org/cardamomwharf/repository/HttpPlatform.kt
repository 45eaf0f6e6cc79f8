/*
 * The HTTP clients of the platform. Tables: GET and PUT /tables/{table}/{key} with If-None-Match or If-Match, and
 * DELETE /tables/{table}?unwrittenForSeconds=..&limit=.. for old rows; objects: GET and PUT /objects/{name}; instance
 * list: GET /instances.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.StatusCode
import org.cardamomwharf.http.HttpCall
import org.cardamomwharf.http.HttpClient
import org.cardamomwharf.http.HttpField
import org.cardamomwharf.http.HttpResponse
import org.cardamomwharf.http.HttpResult
import org.cardamomwharf.http.call
import java.net.URLEncoder

private const val ANY_VERSION = "*"

/** Returns the table service at [address]; each call takes at most [timeoutMs]. */
public fun httpTableService(client: HttpClient, address: SocketAddress, timeoutMs: Long): TableService =
    HttpTableService(PlatformCalls(client, address, timeoutMs))

/** Returns the object store at [address]; each call takes at most [timeoutMs]. */
public fun httpObjectStore(client: HttpClient, address: SocketAddress, timeoutMs: Long): ObjectStore =
    HttpObjectStore(PlatformCalls(client, address, timeoutMs))

/** Returns the instance list at [address]; each call takes at most [timeoutMs]. */
public fun httpInstanceList(client: HttpClient, address: SocketAddress, timeoutMs: Long): InstanceList {
    val calls = PlatformCalls(client, address, timeoutMs)
    return InstanceList { calls.send("GET", "/instances").flatMap(::parseInstances) }
}

private fun parseInstances(response: HttpResponse): Result<List<PlatformInstance>, PlatformError> =
    if (response.status != StatusCode.OK) {
        Err(PlatformError.Rejected(response.status))
    } else {
        try {
            Ok(Json.decodeFromString<List<PlatformInstance>>(response.body.decodeToString()))
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            Err(PlatformError.Rejected(response.status))
        }
    }

/** Sends calls and converts failed calls to platform errors. */
private class PlatformCalls(
    private val client: HttpClient,
    private val address: SocketAddress,
    private val timeoutMs: Long,
) {
    fun send(
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        headers: List<HttpField> = emptyList(),
    ): Result<HttpResponse, PlatformError> {
        val url = "http://$address$path"
        return when (val result = client.call(HttpCall(method, url, headers, body, timeoutMs, MAX_RESPONSE_BYTES))) {
            is HttpResult.Completed -> Ok(result.response)
            is HttpResult.NotSent -> Err(PlatformError.Unreachable)
            is HttpResult.Lost -> Err(PlatformError.Lost)
        }
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 134_217_728
    }
}

private class HttpTableService(private val calls: PlatformCalls) : TableService {
    override fun read(table: String, key: String): Result<TableRow?, PlatformError> =
        calls.send("GET", getRowPath(table, key)).flatMap { response ->
            when (response.status) {
                StatusCode.OK -> Ok(parseRow(response))
                StatusCode.NOT_FOUND -> Ok(null)
                else -> Err(PlatformError.Rejected(response.status))
            }
        }

    override fun insert(table: String, key: String, value: String): Result<TableWrite, PlatformError> =
        write(table, key, value, HttpField("If-None-Match", ANY_VERSION))

    override fun replace(
        table: String,
        key: String,
        value: String,
        version: String,
    ): Result<TableWrite, PlatformError> = write(table, key, value, HttpField("If-Match", version))

    override fun expire(table: String, unwrittenForSeconds: Long, limit: Int): Result<Int, PlatformError> {
        val query = "unwrittenForSeconds=$unwrittenForSeconds&limit=$limit"
        return calls.send("DELETE", "/tables/${encode(table)}?$query").flatMap { response ->
            val count = if (response.status == StatusCode.OK) response.body.decodeToString().toIntOrNull() else null
            if (count == null) Err(PlatformError.Rejected(response.status)) else Ok(count)
        }
    }

    private fun write(
        table: String,
        key: String,
        value: String,
        condition: HttpField,
    ): Result<TableWrite, PlatformError> =
        calls.send("PUT", getRowPath(table, key), value.toByteArray(), listOf(condition)).flatMap { response ->
            when (response.status) {
                StatusCode.OK -> Ok(TableWrite.Written(getVersion(response)))
                StatusCode.PRECONDITION_FAILED -> Ok(TableWrite.Conflict(parseRowOrNull(response)))
                StatusCode.UNAVAILABLE -> Err(PlatformError.Unreachable)
                else -> Err(PlatformError.Rejected(response.status))
            }
        }

    private fun parseRowOrNull(response: HttpResponse): TableRow? =
        if (getVersion(response).isEmpty()) null else parseRow(response)

    private fun parseRow(response: HttpResponse): TableRow =
        TableRow(response.body.decodeToString(), getVersion(response))

    private fun getVersion(response: HttpResponse): String = response.findHeader("ETag").orEmpty()

    private fun getRowPath(table: String, key: String): String = "/tables/${encode(table)}/${encode(key)}"
}

private fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

private class HttpObjectStore(private val calls: PlatformCalls) : ObjectStore {
    override fun read(name: String): Result<ByteArray?, PlatformError> =
        calls.send("GET", "/objects/${encode(name)}").flatMap { response ->
            when (response.status) {
                StatusCode.OK -> Ok(response.body)
                StatusCode.NOT_FOUND -> Ok(null)
                else -> Err(PlatformError.Rejected(response.status))
            }
        }

    override fun write(name: String, contents: ByteArray): Result<Unit, PlatformError> =
        calls.send("PUT", "/objects/${encode(name)}", contents).flatMap { response ->
            if (response.status == StatusCode.OK) Ok(Unit) else Err(PlatformError.Rejected(response.status))
        }
}
