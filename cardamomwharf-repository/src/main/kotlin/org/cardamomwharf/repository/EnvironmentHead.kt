/*
 * The head row of an environment, which lists the document in force and its earlier versions. It is updated only by
 * compare-and-set. Each entry contains the attempt that wrote it, so that after a lost response a read tells whether
 * the write took effect, even when another operator has updated the head since.
 */
package org.cardamomwharf.repository

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion

/**
 * Represents an accepted document of an environment.
 *
 * @param capEpoch incremented whenever the document divides the caps in a different way than its predecessor.
 */
@Serializable
public data class HeadEntry(
    public val version: DocumentVersion,
    public val hash: String,
    public val attempt: AttemptId,
    public val operator: String,
    public val note: String,
    public val acceptedAtEpochSeconds: Long,
    public val capEpoch: CapEpoch = CapEpoch.FIRST,
)

/** Represents the head row; the newest entry is the first. */
@Serializable
public data class EnvironmentHead(public val entries: List<HeadEntry>) {
    /** The document in force. */
    public val newest: HeadEntry get() = entries.first()
}
