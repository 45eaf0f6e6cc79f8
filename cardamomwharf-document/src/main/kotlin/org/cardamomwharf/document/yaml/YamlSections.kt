/*
 * Reads what lies below a mapping: choices, mappings and lists.
 */
package org.cardamomwharf.document.yaml

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar

/** Returns one of [choices] by its lower-case name. */
public fun <T : Enum<T>> YamlFields.enumValue(key: String, choices: List<T>): T {
    val name = text(key, default = "")
    val names = choices.joinToString { it.name.lowercase() }
    val found = choices.firstOrNull { it.name.lowercase() == name }
    return found ?: if (name.isEmpty()) missing(key, choices.first()) else wrong(key, names, choices.first())
}

/** Returns what [read] makes of the mapping under [key], or null when there is none. */
public fun <T> YamlFields.section(key: String, isRequired: Boolean, read: (YamlFields) -> T): T? {
    val value = find(key)
    return when {
        value is YamlMap -> readMap(value, pathOf(key), read)
        value == null && isRequired -> missing(key, null)
        value == null -> null
        else -> wrong(key, "a mapping", null)
    }
}

/** Returns what [read] makes of each mapping in the list under [key]. */
public fun <T> YamlFields.sections(key: String, isRequired: Boolean, read: (YamlFields) -> T): List<T> =
    items(key, isRequired).mapIndexedNotNull { index, item ->
        val itemPath = "${pathOf(key)}[$index]"
        problems.mark(itemPath, item)
        if (item is YamlMap) readMap(item, itemPath, read) else wrong("$key[$index]", "a mapping", null)
    }

/** Returns the texts in the list under [key]. */
public fun YamlFields.textList(key: String, isRequired: Boolean = true): List<String> =
    items(key, isRequired).mapIndexed { index, item ->
        problems.mark("${pathOf(key)}[$index]", item)
        (item as? YamlScalar)?.content ?: wrong("$key[$index]", "a text", "")
    }

private fun YamlFields.items(key: String, isRequired: Boolean): List<YamlNode> {
    val value = find(key)
    return when {
        value is YamlList -> value.items
        value == null && isRequired -> missing(key, emptyList())
        value == null -> emptyList()
        else -> wrong(key, "a list", emptyList())
    }
}

private fun <T> YamlFields.readMap(map: YamlMap, at: String, read: (YamlFields) -> T): T {
    val fields = YamlFields(map, at, problems)
    val result = read(fields)
    fields.reportUnknown()
    return result
}
