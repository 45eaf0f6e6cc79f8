/*
 * Follows the head of the environment. Only a strictly newer version is ever adopted, whatever the order in which the
 * store and the peers tell of versions, so an accepted document never reverts.
 */
package org.cardamomwharf.decision.adoption

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.document.DocumentIndex

/** Represents the head row of an environment as it was read. */
@Serializable
public data class DocumentHead(
    public val version: DocumentVersion,
    public val hash: String,
    public val capEpoch: CapEpoch = CapEpoch.FIRST,
)

/** Represents the document in force and the version that is being fetched. */
public data class DocumentAdoption(
    public val version: DocumentVersion = DocumentVersion.NONE,
    public val hash: String = "",
    public val index: DocumentIndex? = null,
    public val adoptedAtMs: Long = 0,
    public val fetching: DocumentVersion = DocumentVersion.NONE,
    public val fetchDeadlineMs: Long = 0,
) {
    /** Returns true when [other] is worth fetching now. */
    public fun shouldFetch(other: DocumentVersion, nowMs: Long): Boolean =
        other > version && (other > fetching || nowMs >= fetchDeadlineMs)
}

/** Represents where a newer document can be fetched. */
public sealed interface DocumentSource {
    /** The store holds it under [head]. */
    public data class Store(public val head: DocumentHead) : DocumentSource

    /** A peer has it. */
    public data class Peer(public val peer: InstanceName) : DocumentSource
}

private const val FETCH_LIMIT_MS = 3_000L

/** Returns the adoption while [wanted] is being fetched. */
public fun DocumentAdoption.startFetch(wanted: DocumentVersion, nowMs: Long): DocumentAdoption =
    copy(fetching = wanted, fetchDeadlineMs = nowMs + FETCH_LIMIT_MS)

/** Returns the adoption after a fetch ended without a document. */
public fun DocumentAdoption.recordFetchFailure(): DocumentAdoption =
    copy(fetching = DocumentVersion.NONE, fetchDeadlineMs = 0)

/** Returns the adoption with [newIndex] in force, or the same one when [head] isn't strictly newer. */
public fun DocumentAdoption.adopt(head: DocumentHead, newIndex: DocumentIndex, nowMs: Long): DocumentAdoption =
    if (head.version <= version) {
        this
    } else {
        DocumentAdoption(head.version, head.hash, newIndex, adoptedAtMs = nowMs)
    }
