/*
 * Messages that entry instances exchange about membership. Within an availability zone every instance sends heartbeats
 * to every other; between zones a few delegates exchange one summary per zone. In CBOR the fields are identified by
 * numbers; a number is never reused for another field.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.cardamomwharf.decision.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Incarnation
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName

/** Represents an entry instance between start and stop, with the addresses it listens on. */
@Serializable
public data class Member(
    @CborLabel(WireField.FIRST) public val name: InstanceName,
    @CborLabel(WireField.SECOND) public val incarnation: Incarnation,
    @CborLabel(WireField.THIRD) public val zone: ZoneName,
    @CborLabel(WireField.FOURTH) public val callerAddress: SocketAddress,
    @CborLabel(WireField.FIFTH) public val peerAddress: SocketAddress,
)

/** Represents the slots of one service, and the requests waiting for one, at an instance or in a zone. */
@Serializable
public data class ServiceLoad(
    @CborLabel(WireField.FIRST) public val service: ServiceName,
    @CborLabel(WireField.SECOND) public val freeSlots: Int,
    @CborLabel(WireField.THIRD) public val totalSlots: Int,
    @CborLabel(WireField.FOURTH) public val waiting: Int,
)

/** Represents slots that an instance still uses on a backend server that it no longer owns. */
@Serializable
public data class ResidualSlots(
    @CborLabel(
        WireField.FIRST
    ) public val server: ServerName,
    @CborLabel(WireField.SECOND) public val slots: Int
)

/**
 * Represents a heartbeat that an instance sends to the others of its zone.
 *
 * @param isJoining true while the sender only receives heartbeats and owns no resources.
 * @param capEpoch the oldest cap epoch that the sender may still use.
 */
@Serializable
public data class Heartbeat(
    @CborLabel(WireField.FIRST) public val sender: Member,
    @CborLabel(WireField.SECOND) public val sequence: Long,
    @CborLabel(WireField.THIRD) public val isLeaving: Boolean,
    @CborLabel(WireField.FOURTH) public val isJoining: Boolean,
    @CborLabel(WireField.FIFTH) public val liveViewHash: Long,
    @CborLabel(WireField.SIXTH) public val settledViewHash: Long,
    @CborLabel(WireField.SEVENTH) public val documentVersion: DocumentVersion,
    @CborLabel(WireField.EIGHTH) public val loads: List<ServiceLoad>,
    @CborLabel(WireField.NINTH) public val residuals: List<ResidualSlots> = emptyList(),
    @CborLabel(WireField.TENTH) public val capEpoch: CapEpoch = CapEpoch.NONE,
)

/** Represents an instance in the summary of its zone. */
@Serializable
public data class SummaryMember(
    @CborLabel(WireField.FIRST) public val member: Member,
    @CborLabel(WireField.SECOND) public val isLeaving: Boolean,
    @CborLabel(WireField.THIRD) public val loads: List<ServiceLoad>,
)

/**
 * Represents the state of a zone as seen by one of its delegates.
 *
 * @param capEpoch the oldest cap epoch that any instance of the zone may still use.
 */
@Serializable
public data class ZoneSummary(
    @CborLabel(WireField.FIRST) public val zone: ZoneName,
    @CborLabel(WireField.SECOND) public val sequence: Long,
    @CborLabel(WireField.THIRD) public val documentVersion: DocumentVersion,
    @CborLabel(WireField.FOURTH) public val members: List<SummaryMember>,
    @CborLabel(WireField.FIFTH) public val loads: List<ServiceLoad>,
    @CborLabel(WireField.SIXTH) public val capEpoch: CapEpoch = CapEpoch.NONE,
)

/** Represents an entry instance in the platform's instance list. */
@Serializable
public data class ListedInstance(
    public val name: InstanceName,
    public val zone: ZoneName,
    public val callerAddress: SocketAddress,
    public val peerAddress: SocketAddress,
    public val isLeaving: Boolean = false,
)
