/*
 * Collects the faults of a YAML file with their places.
 */
package org.cardamomwharf.document.yaml

import com.charleskorn.kaml.YamlNode

/** Represents the faults and places found while a file is read. */
public class YamlFindings {
    private val found = mutableListOf<Problem>()
    private val places = mutableMapOf<String, Place>()

    /** All faults so far, in the order of the file. */
    public val problems: List<Problem>
        get() = found.sortedWith(compareBy({ it.place.line }, { it.place.column }))

    /** Notes a fault at the field [path]. */
    public fun report(kind: ProblemKind, path: String, detail: String) {
        found += Problem(kind, findPlace(path), path, detail)
    }

    internal fun mark(path: String, node: YamlNode) {
        places[path] = Place(node.location.line, node.location.column)
    }

    private fun findPlace(path: String): Place {
        var candidate = path
        while (candidate.isNotEmpty()) {
            places[candidate]?.let { return it }
            candidate = candidate.substringBeforeLast('.', "")
        }
        return Place.START
    }
}
