/*
 * The response to a look-up.
 */
package org.cardamomwharf.decision.lookup

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName

/** Represents an entry instance in the response to a look-up. */
@Serializable
public data class RankedInstance(
    public val instance: InstanceName,
    public val incarnation: Incarnation,
    public val zone: ZoneName,
    public val address: SocketAddress,
)

/** Represents the response to a look-up, with the best instance first. */
@Serializable
public data class LookupResponse(
    public val service: ServiceName,
    public val documentVersion: DocumentVersion,
    public val cacheTtlMs: Long,
    public val instances: List<RankedInstance>,
)
