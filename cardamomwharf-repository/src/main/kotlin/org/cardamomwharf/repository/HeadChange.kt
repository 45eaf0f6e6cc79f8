/*
 * A requested change of the head of an environment. The same attempt may be sent again; it takes effect at most once.
 */
package org.cardamomwharf.repository

import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.DocumentVersion

/**
 * Represents a change that an operator requests.
 *
 * @param expected the version that must be in force, or [DocumentVersion.NONE] for an empty environment.
 * @param hasSameCaps true when the caps are divided as in the expected version.
 */
public data class HeadChange(
    public val environment: EnvironmentName,
    public val expected: DocumentVersion,
    public val attempt: AttemptId,
    public val operator: String,
    public val note: String,
    public val epochSeconds: Long,
    public val hasSameCaps: Boolean = false,
)
