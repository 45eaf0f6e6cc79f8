/*
 * What a backend server states about itself in a response.
 */
package org.cardamomwharf.steering.servers

import org.cardamomwharf.core.ServerName

/**
 * Represents the statements of a backend server in one response.
 *
 * @param load load of the server, or null if the response doesn't state it.
 * @param limitPerSecond requests per second that the server takes from all instances together, or null for no limit.
 * @param isLimitMalformed true if the response states a limit that can't be decoded; an earlier limit then holds on.
 * @param isLeaving true if the server is leaving and wants no further requests.
 */
public data class ServerReport(
    public val load: LoadReport? = null,
    public val limitPerSecond: Double? = null,
    public val isLimitMalformed: Boolean = false,
    public val isLeaving: Boolean = false,
)

/**
 * Represents what a report changed in the knowledge about the server.
 *
 * @param limit change of the announced limit, or null for none.
 * @param isLeaving true if the server hadn't said before that it is leaving.
 */
public data class ServerReportChange(public val limit: LimitChange? = null, public val isLeaving: Boolean = false)

/** Represents a change of the limit that a backend server announces; null stands for no limit. */
public data class LimitChange(
    public val server: ServerName,
    public val beforePerSecond: Double?,
    public val afterPerSecond: Double?,
)
