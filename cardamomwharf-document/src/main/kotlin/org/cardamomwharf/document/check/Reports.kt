/*
 * Short forms for the faults that several checks report.
 */
package org.cardamomwharf.document.check

import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind

internal fun ProblemCollector.reportDuplicates(list: String, field: String, names: List<String>) {
    val seen = mutableSetOf<String>()
    names.forEachIndexed { index, name -> if (!seen.add(name)) duplicate("$list[$index].$field", name) }
}

internal fun ProblemCollector.reportEmpty(list: String, items: List<Any>) {
    if (items.isEmpty()) impossible(list, "at least one is needed")
}

internal fun ProblemCollector.duplicate(path: String, name: String) =
    report(ProblemKind.DUPLICATE, path, "$name is there already")

internal fun ProblemCollector.unknown(path: String, what: String, name: String) =
    report(ProblemKind.UNKNOWN_REFERENCE, path, "no $what named $name")

internal fun ProblemCollector.impossible(path: String, detail: String) = report(ProblemKind.IMPOSSIBLE, path, detail)
