/*
 * Reads enum values, nested mappings and lists of a YAML mapping.
 */
package org.cardamomwharf.document.yaml

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar

/** Returns the element of [choices] whose lower-case name is under [key]. */
public fun <T : Enum<T>> YamlFields.enumValue(key: String, choices: List<T>): T {
    val name = text(key, default = "")
    val names = choices.joinToString { it.name.lowercase() }
    val found = choices.firstOrNull { it.name.lowercase() == name }
    return found ?: if (name.isEmpty()) {
        reportMissing(key, choices.first())
    } else {
        reportWrongType(key, names, choices.first())
    }
}

/** Returns the result of [read] for the mapping under [key], or null when there is none. */
public fun <T> YamlFields.section(key: String, isRequired: Boolean, read: (YamlFields) -> T): T? {
    val value = find(key)
    return when {
        value is YamlMap -> readMap(value, getPath(key), read)
        value == null && isRequired -> reportMissing(key, null)
        value == null -> null
        else -> reportWrongType(key, "a mapping", null)
    }
}

/** Returns the results of [read] for the mappings in the list under [key]. */
public fun <T> YamlFields.sections(key: String, isRequired: Boolean, read: (YamlFields) -> T): List<T> =
    items(key, isRequired).mapIndexedNotNull { index, item ->
        val itemPath = "${getPath(key)}[$index]"
        problems.recordPosition(itemPath, item)
        if (item is YamlMap) readMap(item, itemPath, read) else reportWrongType("$key[$index]", "a mapping", null)
    }

/** Returns the texts in the list under [key]. */
public fun YamlFields.textList(key: String, isRequired: Boolean = true): List<String> =
    items(key, isRequired).mapIndexed { index, item ->
        problems.recordPosition("${getPath(key)}[$index]", item)
        (item as? YamlScalar)?.content ?: reportWrongType("$key[$index]", "a text", "")
    }

private fun YamlFields.items(key: String, isRequired: Boolean): List<YamlNode> {
    val value = find(key)
    return when {
        value is YamlList -> value.items
        value == null && isRequired -> reportMissing(key, emptyList())
        value == null -> emptyList()
        else -> reportWrongType(key, "a list", emptyList())
    }
}

private fun <T> YamlFields.readMap(map: YamlMap, path: String, read: (YamlFields) -> T): T {
    val fields = YamlFields(map, path, problems)
    val result = read(fields)
    fields.reportUnknown()
    return result
}
