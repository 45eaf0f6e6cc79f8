/*
 * What the platform's store says of one backend server.
 */
package org.cardamomwharf.steering.servers

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName

/**
 * Represents a registered backend server.
 *
 * @param startedAtUnixMs start of this life of the server; another value means that it holds nothing from before.
 * @param coldRemainingMs time for which it was still slow when the record was written.
 */
@Serializable
public data class ServerRecord(
    public val name: ServerName,
    public val service: ServiceName,
    public val address: SocketAddress,
    public val zone: ZoneName,
    public val slots: Int,
    public val isDraining: Boolean,
    public val startedAtUnixMs: Long,
    public val coldRemainingMs: Long,
)
