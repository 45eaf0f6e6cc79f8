/*
 * Guards the names that events, effects and claim rows have outside of the process against renames in the code.
 */
package org.cardamomwharf.decision.serial

import io.kotest.core.spec.style.FunSpec
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.Outcome
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.caps.PartnerPath
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.claims.ClaimRow
import org.cardamomwharf.decision.claims.ClaimState
import org.cardamomwharf.decision.lookup.LookupResponse
import org.cardamomwharf.decision.lookup.Tier
import org.cardamomwharf.decision.requests.RequestOrigin

private val roots: Map<String, KSerializer<out Any>> = mapOf(
    "event" to EntryEvent.serializer(),
    "effect" to EntryEffect.serializer(),
    "claim" to ClaimRow.serializer(),
    "binding" to Binding.serializer(),
    "lookup" to LookupResponse.serializer(),
)

class SerialFormsTest : FunSpec({
    for ((name, serializer) in roots) checkForms(name, serializer, Json)

    test("`the texts of enum constants are those that were recorded`") {
        val enums = Reason.entries.map { "$it ${it.code} ${it.outcome.code} ${it.status}" } +
            Outcome.entries.map { "$it ${it.code}" } +
            listOf(Objective.entries, PartnerPath.entries, ClaimState.entries, Tier.entries, RequestOrigin.entries)
                .flatten().map { it.name }
        compareWithRecorded("enums.txt", enums)
    }
})
