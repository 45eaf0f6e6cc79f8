/*
 * Checks that the JSON of differences and the exit codes stay the same when code is renamed.
 */
package org.cardamomwharf.cli.serial

import io.kotest.core.spec.style.FunSpec
import kotlinx.serialization.json.Json
import org.cardamomwharf.cli.ExitCode
import org.cardamomwharf.cli.FieldDifference
import org.cardamomwharf.logging.LogFormat

class SerialFormsTest : FunSpec({
    checkForms("difference", FieldDifference.serializer(), Json)

    test("`exit codes and log formats match the recorded ones`") {
        val codes = ExitCode.entries.map { "${it.name} ${it.number}" }
        compareWithRecorded("enums.txt", codes + LogFormat.entries.map { it.name })
    }
})
