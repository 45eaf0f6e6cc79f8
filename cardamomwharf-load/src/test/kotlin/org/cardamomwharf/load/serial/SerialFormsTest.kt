/*
 * Guards the results that load runs write, and what they and reports read, against renames in the code.
 */
package org.cardamomwharf.load.serial

import io.kotest.core.spec.style.FunSpec
import kotlinx.serialization.json.Json
import org.cardamomwharf.load.FoundInstances
import org.cardamomwharf.load.LoadResult
import org.cardamomwharf.load.report.ReportRow

class SerialFormsTest : FunSpec({
    checkForms("load-result", LoadResult.serializer(), Json)
    checkForms("found-instances", FoundInstances.serializer(), Json)
    checkForms("report-row", ReportRow.serializer(), Json)
})
