/*
 * Checks that the JSON of load results, look-up responses and report rows stays the same when code is renamed.
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
