/*
 * Reads the fields of a YAML mapping and collects every fault on the way instead of stopping at the first. A field with
 * a fault reads as a harmless default; whoever reads must not use the result when there are problems.
 */
package org.cardamomwharf.document.yaml

import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar

/** Represents the fields of one mapping at [path]. */
public class YamlFields(
    private val node: YamlMap,
    private val path: String,
    internal val problems: ProblemCollector,
) {
    private val entries: Map<String, YamlNode> = node.entries.entries.associate { it.key.content to it.value }
    private val known = mutableSetOf<String>()

    init {
        problems.mark(path, node)
        entries.forEach { (key, value) -> problems.mark(pathOf(key), value) }
    }

    /** Returns the path of the field [key]. */
    public fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"

    /** Returns the text of [key]; an absent one is a fault unless there is a [default]. */
    public fun text(key: String, default: String? = null): String {
        val value = find(key)
        return when {
            value is YamlScalar && value.content.isNotBlank() -> value.content
            value == null && default != null -> default
            value == null -> missing(key, "")
            else -> wrong(key, "a text that isn't empty", "")
        }
    }

    /** Returns the whole number of [key] within [range]. */
    public fun integer(key: String, range: LongRange, default: Long? = null): Long {
        val value = find(key)
        val number = (value as? YamlScalar)?.content?.replace("_", "")?.toLongOrNull()
        return when {
            value == null && default != null -> default
            value == null -> missing(key, range.first)
            number == null -> wrong(key, "a whole number", range.first)
            number !in range -> fault(
                ProblemKind.OUT_OF_RANGE,
                key,
                "$number isn't in ${range.first}..${range.last}",
                range.first
            )
            else -> number
        }
    }

    /** Returns the number of [key] from 0 up to [most]. */
    public fun decimal(key: String, most: Double): Double {
        val value = find(key)
        val number = (value as? YamlScalar)?.content?.toDoubleOrNull()
        return when {
            value == null -> missing(key, 0.0)
            number == null -> wrong(key, "a number", 0.0)
            number.isNaN() || number < 0 || number > most -> fault(
                ProblemKind.OUT_OF_RANGE,
                key,
                "$number isn't in 0..$most",
                0.0
            )
            else -> number
        }
    }

    /** Returns the flag of [key]. */
    public fun boolean(key: String, default: Boolean? = null): Boolean {
        val value = find(key)
        val flag = (value as? YamlScalar)?.content?.toBooleanStrictOrNull()
        return when {
            value == null && default != null -> default
            value == null -> missing(key, false)
            flag == null -> wrong(key, "true or false", false)
            else -> flag
        }
    }

    /** Reports the fields that nobody asked for. */
    public fun reportUnknown() {
        entries.keys.filter { it !in known }.forEach { key ->
            problems.report(ProblemKind.UNKNOWN_KEY, pathOf(key), "known keys are ${known.sorted().joinToString()}")
        }
    }

    internal fun find(key: String): YamlNode? {
        known += key
        return entries[key]?.takeIf { it !is YamlNull }
    }

    internal fun <T> missing(key: String, fallback: T): T = fault(
        ProblemKind.MISSING_KEY,
        key,
        "must be given",
        fallback
    )

    internal fun <T> wrong(key: String, wanted: String, fallback: T): T =
        fault(ProblemKind.WRONG_TYPE, key, "must be $wanted", fallback)

    private fun <T> fault(kind: ProblemKind, key: String, detail: String, fallback: T): T {
        problems.report(kind, pathOf(key), detail)
        return fallback
    }
}
