/*
 * What the division of caps among zones depends on. Documents with equal terms may be in force side by side without
 * any cap being exceeded.
 */
package org.cardamomwharf.core.document

/** Represents the parts of a document that decide how caps are divided. */
public data class CapParameters(
    public val partners: List<Partner>,
    public val regions: List<Region>,
    public val links: List<Link>,
    public val reservePercent: Int,
    public val lookUpPercent: Int,
)

/** Returns the parts of this document that decide how caps are divided. */
public fun EnvironmentDocument.capParameters(): CapParameters =
    CapParameters(partners, regions, links, policy.capReservePercent, policy.capLookUpPercent)
