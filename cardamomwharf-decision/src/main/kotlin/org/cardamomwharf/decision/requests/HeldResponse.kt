/*
 * Defines a response that a peer holds back because it exceeds the bytes charged for it. The missing bytes are charged
 * as the cap shares refill; then the response may be sent.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.decision.caps.CapCost

/** Represents the costs that are still to be charged for a response, by cap. */
public data class HeldResponse(public val unchargedCosts: List<CapCost>)
