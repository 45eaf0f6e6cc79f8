/*
 * Collects the problems of a YAML file with their positions.
 */
package org.cardamomwharf.document.yaml

import com.charleskorn.kaml.YamlNode

/** Represents the problems and field positions found while a file is read. */
public class ProblemCollector {
    private val reported = mutableListOf<Problem>()
    private val positions = mutableMapOf<String, SourcePosition>()

    /** The problems reported so far, in the order of their positions. */
    public val inFileOrder: List<Problem>
        get() = reported.sortedWith(compareBy({ it.position.line }, { it.position.column }))

    /** Adds a problem of the field at [path]. */
    public fun report(kind: ProblemKind, path: String, detail: String) {
        reported += Problem(kind, findPosition(path), path, detail)
    }

    internal fun recordPosition(path: String, node: YamlNode) {
        positions[path] = SourcePosition(node.location.line, node.location.column)
    }

    private fun findPosition(path: String): SourcePosition {
        var candidate = path
        while (candidate.isNotEmpty()) {
            positions[candidate]?.let { return it }
            candidate = candidate.substringBeforeLast('.', "")
        }
        return SourcePosition.START
    }
}
