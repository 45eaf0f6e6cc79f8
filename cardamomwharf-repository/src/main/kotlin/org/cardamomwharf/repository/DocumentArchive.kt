/*
 * Reads and stores the contents of documents in the object store, named by their hash.
 */
package org.cardamomwharf.repository

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.sha256Hex

/** Represents the stored documents of all environments. */
public class DocumentArchive(private val objects: ObjectStore) {
    /** Returns the document under [hash] without its client blocks. */
    public fun readDocument(hash: String): Result<StoredDocument, RepositoryError> =
        readContents(hash).map(::decodeDocument)

    /** Returns the contents of the document under [hash]. */
    public fun readContents(hash: String): Result<ByteArray, RepositoryError> =
        readVerified("documents-$hash", hash, ByteArray::sha256Hex)

    /** Returns the contents of the client blocks under [hash]. */
    public fun readBlocks(hash: String): Result<ByteArray, RepositoryError> =
        readVerified("blocks-$hash", hash, ::hashBlocks)

    /** Returns the document under [hash] with its client blocks. */
    public fun readWithBlocks(hash: String): Result<EnvironmentDocument, RepositoryError> =
        readDocument(hash).flatMap { stored ->
            readBlocks(stored.blocksHash).map { stored.document.copy(clientBlocks = decodeBlocks(it).toList()) }
        }

    /** Stores [document] and returns the hash that names it. */
    public fun store(document: EnvironmentDocument): Result<String, RepositoryError> {
        val blocks = document.encodeBlocks()
        val encoded = document.encode(blocks.hash)
        return write("blocks-${blocks.hash}", blocks.contents)
            .flatMap { write("documents-${encoded.hash}", encoded.contents) }
            .map { encoded.hash }
    }

    /** Returns the object [name] when its contents have [hash]. */
    private fun readVerified(
        name: String,
        hash: String,
        computeHash: (ByteArray) -> String?,
    ): Result<ByteArray, RepositoryError> =
        objects.read(name)
            .mapError { RepositoryError.Platform(it) }
            .flatMap { if (it != null && computeHash(it) == hash) Ok(it) else Err(RepositoryError.HashMismatch(hash)) }

    private fun write(name: String, contents: ByteArray): Result<Unit, RepositoryError> =
        objects.write(name, contents).mapError { RepositoryError.Platform(it) }
}
