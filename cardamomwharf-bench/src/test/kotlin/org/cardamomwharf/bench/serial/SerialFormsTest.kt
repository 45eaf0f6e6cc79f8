/*
 * Tests that renames in the code leave the JSON results of the policy benchmark unchanged.
 */
package org.cardamomwharf.bench.serial

import io.kotest.core.spec.style.FunSpec
import kotlinx.serialization.json.Json
import org.cardamomwharf.bench.policy.PolicyCount
import org.cardamomwharf.bench.policy.RequestResult

class SerialFormsTest : FunSpec({
    checkForms("policy-count", PolicyCount.serializer(), Json)

    test("`the names of request results match the recorded names`") {
        compareWithRecorded("enums.txt", RequestResult.entries.map { it.name })
    }
})
