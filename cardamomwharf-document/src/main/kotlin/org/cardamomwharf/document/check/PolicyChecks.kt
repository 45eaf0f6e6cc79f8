/*
 * Checks the policy of a document for inconsistent values.
 */
package org.cardamomwharf.document.check

import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind

private const val MS_PER_SECOND = 1_000L
private const val PERCENT = 100L

internal fun checkPolicy(document: EnvironmentDocument, problems: ProblemCollector) {
    val policy = document.policy
    if (policy.shiftStopPercent >= policy.shiftStartPercent) {
        problems.report(ProblemKind.IMPOSSIBLE, "policy.shiftStopPercent", "must be below shiftStartPercent")
    }
    val burstPercent = policy.capBurstMs * PERCENT / MS_PER_SECOND
    val usablePercent = PERCENT - policy.capReservePercent
    if (usablePercent * (PERCENT + burstPercent) > PERCENT * PERCENT) {
        problems.report(ProblemKind.IMPOSSIBLE, "policy.capReservePercent", "the reserve doesn't cover capBurstMs")
    }
}
