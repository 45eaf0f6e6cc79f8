/*
 * Guards the results that the policy bench writes against renames in the code.
 */
package org.cardamomwharf.bench.serial

import io.kotest.core.spec.style.FunSpec
import kotlinx.serialization.json.Json
import org.cardamomwharf.bench.policy.PolicyCount
import org.cardamomwharf.bench.policy.PolicyEnd

class SerialFormsTest : FunSpec({
    checkForms("policy-count", PolicyCount.serializer(), Json)

    test("`the ends of requests are those that were recorded`") {
        compareWithRecorded("enums.txt", PolicyEnd.entries.map { it.name })
    }
})
