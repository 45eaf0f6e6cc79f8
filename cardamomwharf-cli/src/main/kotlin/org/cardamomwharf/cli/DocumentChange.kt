/*
 * What a change from one stored document to the next means for the caps.
 */
package org.cardamomwharf.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import org.cardamomwharf.core.document.capParameters
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.RepositoryError

/** Returns true when both documents divide the caps alike; false when one of them can't be read. */
internal fun DocumentArchive.haveSameCaps(hash: String, nextHash: String): Boolean {
    if (hash == nextHash) return true
    val terms = readDocument(hash).get()?.document?.capParameters()
    return terms != null && terms == readDocument(nextHash).get()?.document?.capParameters()
}

/** Returns the zones that the next document leaves out without saying that they were stopped. */
internal fun DocumentArchive.findUnstoppedZones(
    hash: String,
    nextHash: String,
): Result<List<String>, RepositoryError> =
    readDocument(hash).flatMap { before ->
        readDocument(nextHash).map { next ->
            val kept = next.document.regions.flatMap { it.zones } + next.document.stoppedZones
            before.document.regions.flatMap { it.zones }.filter { it !in kept }.map { it.value }
        }
    }
