/*
 * The platform over HTTP. Tables: GET and PUT /tables/{table}/{key} with If-None-Match or If-Match, and
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

/** Returns the table service at [address]; each call takes at most [limitMs]. */
public fun httpTableService(caller: HttpClient, address: SocketAddress, limitMs: Long): TableService =
    HttpTableService(PlatformCalls(caller, address, limitMs))

/** Returns the object store at [address]; each call takes at most [limitMs]. */
public fun httpObjectStore(caller: HttpClient, address: SocketAddress, limitMs: Long): ObjectStore =
    HttpObjectStore(PlatformCalls(caller, address, limitMs))

/** Returns the instance list at [address]; each call takes at most [limitMs]. */
public fun httpInstanceList(caller: HttpClient, address: SocketAddress, limitMs: Long): InstanceList {
    val calls = PlatformCalls(caller, address, limitMs)
    return InstanceList { calls.send("GET", "/instances").flatMap(::parseInstances) }
}

private fun parseInstances(answer: HttpResponse): Result<List<PlatformInstance>, PlatformError> =
    if (answer.status != StatusCode.OK) {
        Err(PlatformError.Rejected(answer.status))
    } else {
        try {
            Ok(Json.decodeFromString<List<PlatformInstance>>(answer.body.decodeToString()))
        } catch (@Suppress("SwallowedException") e: SerializationException) {
            Err(PlatformError.Rejected(answer.status))
        }
    }

/** Sends calls and turns their ends into platform errors. */
private class PlatformCalls(
    private val caller: HttpClient,
    private val address: SocketAddress,
    private val limitMs: Long,
) {
    fun send(
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
        headers: List<HttpField> = emptyList(),
    ): Result<HttpResponse, PlatformError> {
        val url = "http://$address$path"
        return when (val end = caller.call(HttpCall(method, url, headers, body, limitMs, LARGEST_ANSWER_BYTES))) {
            is HttpResult.Completed -> Ok(end.response)
            is HttpResult.NotSent -> Err(PlatformError.Unreachable)
            is HttpResult.Lost -> Err(PlatformError.Lost)
        }
    }

    private companion object {
        const val LARGEST_ANSWER_BYTES = 134_217_728
    }
}

private class HttpTableService(private val calls: PlatformCalls) : TableService {
    override fun read(table: String, key: String): Result<TableRow?, PlatformError> =
        calls.send("GET", pathOf(table, key)).flatMap { answer ->
            when (answer.status) {
                StatusCode.OK -> Ok(rowOf(answer))
                StatusCode.NOT_FOUND -> Ok(null)
                else -> Err(PlatformError.Rejected(answer.status))
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
        return calls.send("DELETE", "/tables/${encode(table)}?$query").flatMap { answer ->
            val count = if (answer.status == StatusCode.OK) answer.body.decodeToString().toIntOrNull() else null
            if (count == null) Err(PlatformError.Rejected(answer.status)) else Ok(count)
        }
    }

    private fun write(
        table: String,
        key: String,
        value: String,
        condition: HttpField,
    ): Result<TableWrite, PlatformError> =
        calls.send("PUT", pathOf(table, key), value.toByteArray(), listOf(condition)).flatMap { answer ->
            when (answer.status) {
                StatusCode.OK -> Ok(TableWrite.Written(versionOf(answer)))
                StatusCode.PRECONDITION_FAILED -> Ok(TableWrite.Conflict(rowOrNull(answer)))
                StatusCode.UNAVAILABLE -> Err(PlatformError.Unreachable)
                else -> Err(PlatformError.Rejected(answer.status))
            }
        }

    private fun rowOrNull(answer: HttpResponse): TableRow? =
        if (versionOf(answer).isEmpty()) null else rowOf(answer)

    private fun rowOf(answer: HttpResponse): TableRow = TableRow(answer.body.decodeToString(), versionOf(answer))

    private fun versionOf(answer: HttpResponse): String = answer.findHeader("ETag").orEmpty()

    private fun pathOf(table: String, key: String): String = "/tables/${encode(table)}/${encode(key)}"
}

private fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

private class HttpObjectStore(private val calls: PlatformCalls) : ObjectStore {
    override fun read(name: String): Result<ByteArray?, PlatformError> =
        calls.send("GET", "/objects/${encode(name)}").flatMap { answer ->
            when (answer.status) {
                StatusCode.OK -> Ok(answer.body)
                StatusCode.NOT_FOUND -> Ok(null)
                else -> Err(PlatformError.Rejected(answer.status))
            }
        }

    override fun write(name: String, contents: ByteArray): Result<Unit, PlatformError> =
        calls.send("PUT", "/objects/${encode(name)}", contents).flatMap { answer ->
            if (answer.status == StatusCode.OK) Ok(Unit) else Err(PlatformError.Rejected(answer.status))
        }
}
