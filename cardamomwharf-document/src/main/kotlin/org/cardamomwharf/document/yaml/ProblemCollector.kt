/*
 * Collects the faults of a YAML file with their positions.
 */
package org.cardamomwharf.document.yaml

import com.charleskorn.kaml.YamlNode

/** Represents the faults and positions found while a file is read. */
public class ProblemCollector {
    private val found = mutableListOf<Problem>()
    private val positions = mutableMapOf<String, SourcePosition>()

    /** All faults so far, in the order of the file. */
    public val inFileOrder: List<Problem>
        get() = found.sortedWith(compareBy({ it.position.line }, { it.position.column }))

    /** Notes a fault at the field [path]. */
    public fun report(kind: ProblemKind, path: String, detail: String) {
        found += Problem(kind, findPosition(path), path, detail)
    }

    internal fun mark(path: String, node: YamlNode) {
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
