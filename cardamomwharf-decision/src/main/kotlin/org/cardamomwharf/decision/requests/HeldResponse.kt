/*
 * An answer that a peer holds back because it is larger than the share of the link that was charged for it. The missing
 * bytes are charged as the share refills, then the answer may travel.
 */
package org.cardamomwharf.decision.requests

import org.cardamomwharf.decision.caps.CapCost

/** Represents what is still to be charged for an answer, by cap. */
public data class HeldResponse(public val unchargedCosts: List<CapCost>)
