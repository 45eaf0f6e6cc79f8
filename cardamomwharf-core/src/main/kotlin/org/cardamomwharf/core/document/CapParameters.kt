/*
 * The parameters of the division of caps among zones. Documents with equal parameters can be in force at the same time
 * without exceeding a cap.
 */
package org.cardamomwharf.core.document

/** Represents the parts of a document that determine how caps are divided. */
public data class CapParameters(
    public val partners: List<Partner>,
    public val regions: List<Region>,
    public val links: List<Link>,
    public val reservePercent: Int,
    public val lookUpPercent: Int,
)

/** Returns the parts of this document that determine how caps are divided. */
public fun EnvironmentDocument.capParameters(): CapParameters =
    CapParameters(partners, regions, links, policy.capReservePercent, policy.capLookUpPercent)
