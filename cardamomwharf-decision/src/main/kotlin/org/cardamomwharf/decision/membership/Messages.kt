/*
 * What entry instances tell each other. Inside an availability zone every instance sends heartbeats to every other;
 * between zones a few delegates exchange one summary for each zone.
 */
package org.cardamomwharf.decision.membership

import kotlinx.serialization.Serializable
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName

/** Represents one life of an entry instance with the addresses it listens on. */
@Serializable
public data class Member(
    public val name: InstanceName,
    public val incarnation: Incarnation,
    public val zone: ZoneName,
    public val callerAddress: SocketAddress,
    public val peerAddress: SocketAddress,
)

/** Represents the slots of one service at one instance. */
@Serializable
public data class ServiceLoad(
    public val service: ServiceName,
    public val freeSlots: Int,
    public val totalSlots: Int,
    public val waiting: Int,
)

/** Represents slots of a backend server that an instance still uses without owning the server any more. */
@Serializable
public data class ResidualSlots(public val server: ServerName, public val slots: Int)

/**
 * Represents a heartbeat from one instance to another of its zone.
 *
 * @param isJoining true while the sender only listens and owns nothing.
 */
@Serializable
public data class Heartbeat(
    public val sender: Member,
    public val sequence: Long,
    public val isLeaving: Boolean,
    public val isJoining: Boolean,
    public val liveViewHash: Long,
    public val settledViewHash: Long,
    public val documentVersion: DocumentVersion,
    public val loads: List<ServiceLoad>,
    public val residuals: List<ResidualSlots> = emptyList(),
)

/** Represents one instance inside a zone's summary. */
@Serializable
public data class SummaryMember(
    public val member: Member,
    public val isLeaving: Boolean,
    public val loads: List<ServiceLoad>,
)

/** Represents the state of a zone as one of its delegates sees it. */
@Serializable
public data class ZoneSummary(
    public val zone: ZoneName,
    public val sequence: Long,
    public val documentVersion: DocumentVersion,
    public val members: List<SummaryMember>,
    public val loads: List<ServiceLoad>,
)

/** Represents an entry instance on the platform's instance list. */
@Serializable
public data class ListedInstance(
    public val name: InstanceName,
    public val zone: ZoneName,
    public val callerAddress: SocketAddress,
    public val peerAddress: SocketAddress,
    public val isLeaving: Boolean = false,
)
