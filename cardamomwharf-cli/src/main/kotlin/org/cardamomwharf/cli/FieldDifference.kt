/*
 * The difference between two documents, field by field.
 */
package org.cardamomwharf.cli

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import org.cardamomwharf.core.document.EnvironmentDocument

/** Represents a field that differs; null where it is absent. */
@Serializable
public data class FieldDifference(
    public val path: String,
    public val before: String?,
    public val after: String?,
)

/** Returns the fields that differ between two documents, by path. */
public fun compareDocuments(before: EnvironmentDocument, after: EnvironmentDocument): List<FieldDifference> {
    val old = flatten("", Json.encodeToJsonElement(before))
    val new = flatten("", Json.encodeToJsonElement(after))
    return (old.keys + new.keys).sorted()
        .filter { old[it] != new[it] }
        .map { FieldDifference(it, old[it], new[it]) }
}

private fun flatten(path: String, element: JsonElement): Map<String, String> = when (element) {
    is JsonObject -> element.entries.flatMap { (key, value) -> flatten(join(path, key), value).entries }
        .associate { it.key to it.value }
    is JsonArray -> element.flatMapIndexed { index, item -> flatten("$path[${labelOf(item, index)}]", item).entries }
        .associate { it.key to it.value }
    is JsonPrimitive -> mapOf(path to element.content)
}

private fun join(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"

/** Lists are compared by the names of their items, so that an inserted item doesn't shift all others. */
private fun labelOf(item: JsonElement, index: Int): String {
    val fields = item as? JsonObject
    val named = listOf("name", "zone", "region", "cidr", "from").firstNotNullOfOrNull { fields?.get(it) }
    val second = fields?.get("to")
    val label = (named as? JsonPrimitive)?.content ?: index.toString()
    return if (second is JsonPrimitive) "$label to ${second.content}" else label
}
