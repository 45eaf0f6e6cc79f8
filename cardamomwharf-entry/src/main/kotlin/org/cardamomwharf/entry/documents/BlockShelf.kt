/*
 * Keeps the client blocks of the newest document, so that a change that leaves them alone fetches none.
 */
package org.cardamomwharf.entry.documents

import com.github.michaelbull.result.get
import org.cardamomwharf.core.document.ClientBlockTable
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.decodeBlocks

internal class BlockShelf(private val archive: DocumentArchive) {
    @Volatile
    private var kept: Blocks? = null

    /** Returns the blocks under [hash], kept here or fetched from the store, or null. */
    fun find(hash: String): Blocks? =
        kept?.takeIf { it.hash == hash } ?: archive.readBlocks(hash).get()?.let { put(hash, it) }

    fun findContents(hash: String): ByteArray? = kept?.takeIf { it.hash == hash }?.contents

    fun put(hash: String, contents: ByteArray): Blocks {
        val blocks = Blocks(hash, contents, ClientBlockTable.build(decodeBlocks(contents)))
        kept = blocks
        return blocks
    }

    class Blocks(val hash: String, val contents: ByteArray, val table: ClientBlockTable)
}
