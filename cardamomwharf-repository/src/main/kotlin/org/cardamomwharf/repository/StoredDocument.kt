/*
 * The stored form of documents. The document without its client blocks and the blocks are separate objects. Most
 * changes don't affect the blocks, so that entry instances fetch a few kilobytes instead of the whole block table.
 * Blocks are compressed, because each entry instance keeps them for its peers.
 */
package org.cardamomwharf.repository

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.DecodeSequenceMode
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.decodeToSequence
import org.cardamomwharf.core.document.ClientBlock
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.sha256Hex
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Represents a stored document, whose client blocks are stored under [blocksHash]. */
@Serializable
public data class StoredDocument(public val document: EnvironmentDocument, public val blocksHash: String)

/** Represents contents with the hash that names them. */
public class NamedContents(public val hash: String, public val contents: ByteArray)

/** Encodes and compresses the client blocks of this document; their hash doesn't depend on the compression. */
public fun EnvironmentDocument.encodeBlocks(): NamedContents {
    val plain = Json.encodeToString(clientBlocks).toByteArray()
    val compressed = ByteArrayOutputStream()
    GZIPOutputStream(compressed).use { it.write(plain) }
    return NamedContents(plain.sha256Hex(), compressed.toByteArray())
}

/** Returns the hash of the client blocks in [contents], or null when [contents] can't be decompressed. */
public fun hashBlocks(contents: ByteArray): String? =
    try {
        GZIPInputStream(contents.inputStream()).use { it.sha256Hex() }
    } catch (@Suppress("SwallowedException") e: IOException) {
        null
    }

/** Encodes this document without its client blocks. */
public fun EnvironmentDocument.encode(blocksHash: String): NamedContents {
    val contents = Json.encodeToString(StoredDocument(copy(clientBlocks = emptyList()), blocksHash)).toByteArray()
    return NamedContents(contents.sha256Hex(), contents)
}

/** Decodes the document in [contents]. */
public fun decodeDocument(contents: ByteArray): StoredDocument = Json.decodeFromString(contents.decodeToString())

/** Decodes the client blocks in [contents] one by one, so that they aren't all held in memory at once. */
@OptIn(ExperimentalSerializationApi::class)
public fun decodeBlocks(contents: ByteArray): Sequence<ClientBlock> =
    Json.decodeToSequence(GZIPInputStream(contents.inputStream()), DecodeSequenceMode.ARRAY_WRAPPED)
