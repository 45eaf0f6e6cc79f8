/*
 * A problem in a YAML file with its position. All problems of a file are reported together.
 */
package org.cardamomwharf.document.yaml

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Represents the kind of a problem, which determines the exit code of a check. */
@Serializable
public enum class ProblemKind(public val code: String) {
    UNREADABLE("unreadable"),
    SYNTAX("syntax"),
    UNKNOWN_KEY("unknown-key"),
    MISSING_KEY("missing-key"),
    WRONG_TYPE("wrong-type"),
    OUT_OF_RANGE("out-of-range"),
    DUPLICATE("duplicate"),
    UNKNOWN_REFERENCE("unknown-reference"),
    IMPOSSIBLE("impossible"),
}

/** Represents a line and a column, both starting at 1. */
@Serializable
public data class SourcePosition(public val line: Int, public val column: Int) {
    public companion object {
        /** The position of the first character. */
        public val START: SourcePosition = SourcePosition(1, 1)
    }
}

/**
 * Represents a problem in a YAML file.
 *
 * @param path the path of the field, such as `services[2].pools[0].zone`.
 * @param detail the value that was found and the values that are allowed.
 */
@Serializable
public data class Problem(
    public val kind: ProblemKind,
    @SerialName("place")
    public val position: SourcePosition,
    public val path: String,
    public val detail: String,
) {
    override fun toString(): String = "${position.line}:${position.column} ${kind.code} $path: $detail"
}
