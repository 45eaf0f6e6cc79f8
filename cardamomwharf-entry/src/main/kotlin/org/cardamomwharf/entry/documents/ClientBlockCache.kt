/*
 * Cache of the client blocks of the latest document, so that a document with the same blocks does not fetch them again.
 */
package org.cardamomwharf.entry.documents

import com.github.michaelbull.result.get
import org.cardamomwharf.core.document.ClientBlockTable
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.decodeBlocks

internal class ClientBlockCache(private val archive: DocumentArchive) {
    @Volatile
    private var cached: Blocks? = null

    /** Returns the blocks with the given [hash] from the cache or the object store, or null if neither has them. */
    fun find(hash: String): Blocks? =
        cached?.takeIf { it.hash == hash } ?: archive.readBlocks(hash).get()?.let { put(hash, it) }

    fun findContents(hash: String): ByteArray? = cached?.takeIf { it.hash == hash }?.contents

    fun put(hash: String, contents: ByteArray): Blocks {
        val blocks = Blocks(hash, contents, ClientBlockTable.build(decodeBlocks(contents)))
        cached = blocks
        return blocks
    }

    class Blocks(val hash: String, val contents: ByteArray, val table: ClientBlockTable)
}
