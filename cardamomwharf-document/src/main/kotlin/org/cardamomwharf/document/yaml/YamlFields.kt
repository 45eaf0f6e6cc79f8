/*
 * Reads the fields of a YAML mapping. It collects all problems instead of stopping at the first one. A field with a
 * problem yields a placeholder, so that the result must not be used when there are problems.
 */
package org.cardamomwharf.document.yaml

import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar

/** Represents the fields of the mapping at [path]. */
public class YamlFields(
    private val node: YamlMap,
    private val path: String,
    internal val problems: ProblemCollector,
) {
    private val entries: Map<String, YamlNode> = node.entries.entries.associate { it.key.content to it.value }
    private val knownKeys = mutableSetOf<String>()

    init {
        problems.recordPosition(path, node)
        entries.forEach { (key, value) -> problems.recordPosition(getPath(key), value) }
    }

    /** Returns the path of the field [key]. */
    public fun getPath(key: String): String = if (path.isEmpty()) key else "$path.$key"

    /** Returns the text under [key]; a missing text is a problem unless there is a [default]. */
    public fun text(key: String, default: String? = null): String {
        val value = find(key)
        return when {
            value is YamlScalar && value.content.isNotBlank() -> value.content
            value == null && default != null -> default
            value == null -> reportMissing(key, "")
            else -> reportWrongType(key, "a text that is not empty", "")
        }
    }

    /** Returns the integer under [key], which must be in [range]. */
    public fun integer(key: String, range: LongRange, default: Long? = null): Long {
        val value = find(key)
        val number = (value as? YamlScalar)?.content?.replace("_", "")?.toLongOrNull()
        return when {
            value == null && default != null -> default
            value == null -> reportMissing(key, range.first)
            number == null -> reportWrongType(key, "a whole number", range.first)
            number !in range -> reportProblem(
                ProblemKind.OUT_OF_RANGE,
                key,
                "$number isn't in ${range.first}..${range.last}",
                range.first
            )
            else -> number
        }
    }

    /** Returns the number under [key], which must be between 0 and [max]. */
    public fun decimal(key: String, max: Double): Double {
        val value = find(key)
        val number = (value as? YamlScalar)?.content?.toDoubleOrNull()
        return when {
            value == null -> reportMissing(key, 0.0)
            number == null -> reportWrongType(key, "a number", 0.0)
            number.isNaN() || number < 0 || number > max -> reportProblem(
                ProblemKind.OUT_OF_RANGE,
                key,
                "$number isn't in 0..$max",
                0.0
            )
            else -> number
        }
    }

    /** Returns the boolean under [key]. */
    public fun boolean(key: String, default: Boolean? = null): Boolean {
        val value = find(key)
        val boolean = (value as? YamlScalar)?.content?.toBooleanStrictOrNull()
        return when {
            value == null && default != null -> default
            value == null -> reportMissing(key, false)
            boolean == null -> reportWrongType(key, "true or false", false)
            else -> boolean
        }
    }

    /** Reports the fields that were not read. */
    public fun reportUnknown() {
        entries.keys.filter { it !in knownKeys }.forEach { key ->
            val detail = "known keys are ${knownKeys.sorted().joinToString()}"
            problems.report(ProblemKind.UNKNOWN_KEY, getPath(key), detail)
        }
    }

    internal fun find(key: String): YamlNode? {
        knownKeys += key
        return entries[key]?.takeIf { it !is YamlNull }
    }

    internal fun <T> reportMissing(key: String, placeholder: T): T =
        reportProblem(ProblemKind.MISSING_KEY, key, "is required", placeholder)

    internal fun <T> reportWrongType(key: String, expected: String, placeholder: T): T =
        reportProblem(ProblemKind.WRONG_TYPE, key, "must be $expected", placeholder)

    private fun <T> reportProblem(kind: ProblemKind, key: String, detail: String, placeholder: T): T {
        problems.report(kind, getPath(key), detail)
        return placeholder
    }
}
