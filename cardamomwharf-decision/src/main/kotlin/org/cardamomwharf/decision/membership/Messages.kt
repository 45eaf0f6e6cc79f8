/*
 * What entry instances tell each other. Inside an availability zone every instance sends heartbeats to every other;
 * between zones a few delegates exchange one summary for each zone. On the wire fields are numbers; a number is never used
 * again for another field.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.cardamomwharf.decision.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
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
    @CborLabel(1) public val name: InstanceName,
    @CborLabel(2) public val incarnation: Incarnation,
    @CborLabel(3) public val zone: ZoneName,
    @CborLabel(4) public val callerAddress: SocketAddress,
    @CborLabel(5) public val peerAddress: SocketAddress,
)

/** Represents the slots of one service at one instance. */
@Serializable
public data class ServiceLoad(
    @CborLabel(1) public val service: ServiceName,
    @CborLabel(2) public val freeSlots: Int,
    @CborLabel(3) public val totalSlots: Int,
    @CborLabel(4) public val waiting: Int,
)

/** Represents slots of a backend server that an instance still uses without owning the server any more. */
@Serializable
public data class ResidualSlots(@CborLabel(1) public val server: ServerName, @CborLabel(2) public val slots: Int)

/**
 * Represents a heartbeat from one instance to another of its zone.
 *
 * @param isJoining true while the sender only listens and owns nothing.
 */
@Serializable
public data class Heartbeat(
    @CborLabel(1) public val sender: Member,
    @CborLabel(2) public val sequence: Long,
    @CborLabel(3) public val isLeaving: Boolean,
    @CborLabel(4) public val isJoining: Boolean,
    @CborLabel(5) public val liveViewHash: Long,
    @CborLabel(6) public val settledViewHash: Long,
    @CborLabel(7) public val documentVersion: DocumentVersion,
    @CborLabel(8) public val loads: List<ServiceLoad>,
    @CborLabel(9) public val residuals: List<ResidualSlots> = emptyList(),
)

/** Represents one instance inside a zone's summary. */
@Serializable
public data class SummaryMember(
    @CborLabel(1) public val member: Member,
    @CborLabel(2) public val isLeaving: Boolean,
    @CborLabel(3) public val loads: List<ServiceLoad>,
)

/** Represents the state of a zone as one of its delegates sees it. */
@Serializable
public data class ZoneSummary(
    @CborLabel(1) public val zone: ZoneName,
    @CborLabel(2) public val sequence: Long,
    @CborLabel(3) public val documentVersion: DocumentVersion,
    @CborLabel(4) public val members: List<SummaryMember>,
    @CborLabel(5) public val loads: List<ServiceLoad>,
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
