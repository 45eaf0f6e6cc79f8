/*
 * Tracks the document of the environment. Only a strictly newer version is adopted, whatever the order in which the
 * store and the peers report versions, so an instance never reverts to an older document.
 */
package org.cardamomwharf.decision.adoption

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.document.DocumentIndex

/** Represents the head row of an environment: the current version of its document. */
@Serializable
public data class DocumentHead(
    public val version: DocumentVersion,
    public val hash: String,
    public val capEpoch: CapEpoch = CapEpoch.FIRST,
)

/** Represents the adopted document and the version that is being fetched. */
public data class DocumentAdoption(
    public val version: DocumentVersion = DocumentVersion.NONE,
    public val hash: String = "",
    public val index: DocumentIndex? = null,
    public val adoptedAtMs: Long = 0,
    public val fetching: DocumentVersion = DocumentVersion.NONE,
    public val fetchDeadlineMs: Long = 0,
) {
    /** Returns true when [other] is newer than the adopted version and no fetch of it is in progress. */
    public fun shouldFetch(other: DocumentVersion, nowMs: Long): Boolean =
        other > version && (other > fetching || nowMs >= fetchDeadlineMs)
}

/** Represents where a newer document can be fetched from. */
public sealed interface DocumentSource {
    /** The store has the document of [head]. */
    public data class Store(public val head: DocumentHead) : DocumentSource

    /** A peer has the document. */
    public data class Peer(public val peer: InstanceName) : DocumentSource
}

private const val FETCH_TIMEOUT_MS = 3_000L

/** Records the start of a fetch of [wanted]. */
public fun DocumentAdoption.startFetch(wanted: DocumentVersion, nowMs: Long): DocumentAdoption =
    copy(fetching = wanted, fetchDeadlineMs = nowMs + FETCH_TIMEOUT_MS)

/** Records a fetch that ended without a document. */
public fun DocumentAdoption.recordFetchFailure(): DocumentAdoption =
    copy(fetching = DocumentVersion.NONE, fetchDeadlineMs = 0)

/** Adopts [newIndex], unless [head] isn't strictly newer than the adopted version. */
public fun DocumentAdoption.adopt(head: DocumentHead, newIndex: DocumentIndex, nowMs: Long): DocumentAdoption =
    if (head.version <= version) {
        this
    } else {
        DocumentAdoption(head.version, head.hash, newIndex, adoptedAtMs = nowMs)
    }
