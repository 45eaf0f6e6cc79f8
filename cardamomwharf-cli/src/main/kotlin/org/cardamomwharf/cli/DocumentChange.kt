/*
 * Compares a stored document with its successor: whether their caps are equal, and which zones disappear unstopped.
 */
package org.cardamomwharf.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import org.cardamomwharf.core.document.capParameters
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.RepositoryError

/** Returns true when both documents have equal cap parameters; false when either of them can't be read. */
internal fun DocumentArchive.haveSameCaps(hash: String, nextHash: String): Boolean {
    if (hash == nextHash) return true
    val parameters = readDocument(hash).get()?.document?.capParameters()
    return parameters != null && parameters == readDocument(nextHash).get()?.document?.capParameters()
}

/** Returns the zones that the next document removes without listing them in its `stoppedZones`. */
internal fun DocumentArchive.findUnstoppedZones(
    hash: String,
    nextHash: String,
): Result<List<String>, RepositoryError> =
    readDocument(hash).flatMap { before ->
        readDocument(nextHash).map { next ->
            val knownZones = next.document.regions.flatMap { it.zones } + next.document.stoppedZones
            before.document.regions.flatMap { it.zones }.filter { it !in knownZones }.map { it.value }
        }
    }
