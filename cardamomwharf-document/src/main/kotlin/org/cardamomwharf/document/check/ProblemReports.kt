/*
 * Functions that report the problems common to several checks.
 */
package org.cardamomwharf.document.check

import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind

internal fun ProblemCollector.reportDuplicates(list: String, field: String, names: List<String>) {
    val seen = mutableSetOf<String>()
    names.forEachIndexed { index, name -> if (!seen.add(name)) reportDuplicate("$list[$index].$field", name) }
}

internal fun ProblemCollector.reportEmpty(list: String, items: List<Any>) {
    if (items.isEmpty()) reportImpossible(list, "must not be empty")
}

internal fun ProblemCollector.reportDuplicate(path: String, name: String) =
    report(ProblemKind.DUPLICATE, path, "$name is a duplicate")

internal fun ProblemCollector.reportUnknown(path: String, what: String, name: String) =
    report(ProblemKind.UNKNOWN_REFERENCE, path, "no $what named $name")

internal fun ProblemCollector.reportImpossible(path: String, detail: String) =
    report(ProblemKind.IMPOSSIBLE, path, detail)
