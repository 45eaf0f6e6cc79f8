/*
 * Guards the faults of documents as they are printed against renames in the code.
 */
package org.cardamomwharf.document.serial

import io.kotest.core.spec.style.FunSpec
import kotlinx.serialization.json.Json
import org.cardamomwharf.document.yaml.Problem
import org.cardamomwharf.document.yaml.ProblemKind

class SerialFormsTest : FunSpec({
    checkForms("problem", Problem.serializer(), Json)

    test("`the texts of problem kinds are those that were recorded`") {
        compareWithRecorded("enums.txt", ProblemKind.entries.map { "${it.name} ${it.code}" })
    }
})
