/*
 * The record of a backend server in the platform's store.
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
 * @param startedAtUnixMs start time of the server; another value means that the server has restarted and lost its
 * state.
 * @param coldRemainingMs remaining cold time when the record was written.
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
