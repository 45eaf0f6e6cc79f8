/*
 * Compares two documents field by field.
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

/** Represents a field that differs between two documents; a value is null where the field is absent. */
@Serializable
public data class FieldDifference(
    public val path: String,
    public val before: String?,
    public val after: String?,
)

/** Returns the fields that differ between two documents, sorted by path. */
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
    is JsonArray ->
        element.flatMapIndexed { index, item -> flatten("$path[${getItemLabel(item, index)}]", item).entries }
            .associate { it.key to it.value }
    is JsonPrimitive -> mapOf(path to element.content)
}

private fun join(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"

/** Returns the name of a list item rather than its index, so that an inserted item leaves the other paths unchanged. */
private fun getItemLabel(item: JsonElement, index: Int): String {
    val fields = item as? JsonObject
    val name = listOf("name", "zone", "region", "cidr", "from").firstNotNullOfOrNull { fields?.get(it) }
    val destination = fields?.get("to")
    val label = (name as? JsonPrimitive)?.content ?: index.toString()
    return if (destination is JsonPrimitive) "$label to ${destination.content}" else label
}
