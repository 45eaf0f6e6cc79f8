/*
 * Logs when this instance begins or ceases to accept keys of teams.
 */
package org.cardamomwharf.gateway.logs

import kotlinx.serialization.json.put
import org.cardamomwharf.core.Clock
import org.cardamomwharf.steering.desired.ActiveRoutes
import org.cardamomwharf.steering.teams.ConfigurationProof

internal class KeyConfirmationLog(private val clock: Clock, private val log: DecisionLog) {
    private var isConfirmed: Boolean? = null

    /** Logs a change since the last call, if [routes] has teams and [proof] is subject to a bound. */
    fun write(routes: ActiveRoutes, proof: ConfigurationProof) {
        val nowMs = clock.nowMs()
        val isValid = proof.isValid(nowMs)
        if (proof.times == null || !routes.teamKeys.hasTeams || isValid == isConfirmed) return
        isConfirmed = isValid
        log.event(if (isValid) "keys-confirmed" else "keys-unconfirmed") {
            put("version", routes.desired?.version?.value)
            put("proofAgeMs", proof.ageMs(nowMs))
        }
    }
}
