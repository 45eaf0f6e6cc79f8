/*
 * Documents are stored in two objects: the document without its client blocks, and the blocks. Most changes leave the
 * blocks alone, so that entry instances fetch a few kilobytes for them and not the whole block table. Blocks are
 * compressed, as each entry instance keeps them for its peers.
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

/** Represents a document as it is stored; its client blocks are under [blocksHash]. */
@Serializable
public data class StoredDocument(public val document: EnvironmentDocument, public val blocksHash: String)

/** Represents contents with the hash that names them. */
public class NamedContents(public val hash: String, public val contents: ByteArray)

/** Returns the contents of the client blocks of this document; their hash doesn't depend on the compression. */
public fun EnvironmentDocument.encodeBlocks(): NamedContents {
    val plain = Json.encodeToString(clientBlocks).toByteArray()
    val compressed = ByteArrayOutputStream()
    GZIPOutputStream(compressed).use { it.write(plain) }
    return NamedContents(plain.sha256Hex(), compressed.toByteArray())
}

/** Returns the hash that names client blocks with these [contents], or null when they are damaged. */
public fun hashBlocks(contents: ByteArray): String? =
    try {
        GZIPInputStream(contents.inputStream()).use { it.sha256Hex() }
    } catch (@Suppress("SwallowedException") e: IOException) {
        null
    }

/** Returns the contents of this document without its client blocks. */
public fun EnvironmentDocument.encode(blocksHash: String): NamedContents {
    val contents = Json.encodeToString(StoredDocument(copy(clientBlocks = emptyList()), blocksHash)).toByteArray()
    return NamedContents(contents.sha256Hex(), contents)
}

/** Returns the document in [contents]. */
public fun decodeDocument(contents: ByteArray): StoredDocument = Json.decodeFromString(contents.decodeToString())

/** Returns the client blocks in [contents], decoded one by one, so that they need not be held all at once. */
@OptIn(ExperimentalSerializationApi::class)
public fun decodeBlocks(contents: ByteArray): Sequence<ClientBlock> =
    Json.decodeToSequence(GZIPInputStream(contents.inputStream()), DecodeSequenceMode.ARRAY_WRAPPED)
