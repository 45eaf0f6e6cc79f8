/*
 * Messages between entry instances. Each is one frame: its size in four bytes, then CBOR. An instance opens
 * connections to the peers that it sends messages to; replies arrive on the same connection.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.cardamomwharf.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.caps.LoanGrant
import org.cardamomwharf.decision.caps.LoanRequest
import org.cardamomwharf.decision.membership.Heartbeat
import org.cardamomwharf.decision.membership.ZoneSummary

/** Represents a message between two entry instances. */
@Serializable
public sealed interface PeerMessage {
    /** Sends the state of an instance to a peer of its zone. */
    @Serializable
    @SerialName("h")
    public data class HeartbeatMessage(@CborLabel(1) public val heartbeat: Heartbeat) : PeerMessage

    /** Sends the state of a zone; [isRelayed] is true when a peer of the own zone forwards it. */
    @Serializable
    @SerialName("s")
    public data class SummaryMessage(
        @CborLabel(1) public val summary: ZoneSummary,
        @CborLabel(2) @SerialName("isPassedOn") public val isRelayed: Boolean,
    ) : PeerMessage

    /** Requests an [Ack], which shows that the connection works. */
    @Serializable
    @SerialName("p")
    public data object Ping : PeerMessage

    /** Acknowledges [Ping], [HeartbeatMessage] and [SummaryMessage]. */
    @Serializable
    @SerialName("a")
    public data object Ack : PeerMessage

    /** Requests a loan. */
    @Serializable
    @SerialName("l")
    public data class LoanRequestMessage(public val request: LoanRequest) : PeerMessage

    /** Replies to [LoanRequestMessage]. */
    @Serializable
    @SerialName("g")
    public data class LoanGrantMessage(public val grant: LoanGrant) : PeerMessage

    /** Requests the document that the peer has adopted, or the client blocks with [blocksHash]. */
    @Serializable
    @SerialName("d")
    public data class ContentsRequest(public val blocksHash: String? = null) : PeerMessage

    /** Replies to [ContentsRequest]; [contents] is null when the peer doesn't have them. */
    @Serializable
    @SerialName("c")
    public class ContentsReply(
        public val version: DocumentVersion,
        public val hash: String,
        public val isBlocks: Boolean,
        @ByteString public val contents: ByteArray?,
        public val capEpoch: CapEpoch = CapEpoch.FIRST,
    ) : PeerMessage

    /** Hands over a request. */
    @Serializable
    @SerialName("r")
    public class HandOver(
        public val attempt: AttemptId,
        public val claimAttempt: AttemptId,
        public val service: ServiceName,
        public val request: HandedOverRequest,
        public val limits: HandOverLimits,
    ) : PeerMessage

    /** Replies to [HandOver]; [response] is present when the request ran. */
    @Serializable
    @SerialName("e")
    public class HandOverReply(
        public val attempt: AttemptId,
        public val reason: Reason,
        public val retryAfterMs: Long,
        @SerialName("answer") public val response: HandedOverResponse?,
    ) : PeerMessage

    /** Reports that the response exceeds its credit by [missingBytes]; it is held back until [CreditGrant]. */
    @Serializable
    @SerialName("w")
    public data class CreditRequest(public val attempt: AttemptId, public val missingBytes: Long) : PeerMessage

    /** Permits the whole response to be sent. */
    @Serializable
    @SerialName("k")
    public data class CreditGrant(public val attempt: AttemptId) : PeerMessage

    /** Cancels a request that was handed over. */
    @Serializable
    @SerialName("x")
    public data class Cancel(public val attempt: AttemptId) : PeerMessage
}

/**
 * Represents the limits of a request that is handed over.
 *
 * @param remainingMs time until the deadline.
 * @param creditBytes size up to which the response may be sent without a [PeerMessage.CreditGrant].
 */
@Serializable
public data class HandOverLimits(
    public val isIdempotent: Boolean,
    public val remainingMs: Long,
    public val creditBytes: Long,
    public val clientZone: ZoneName? = null,
)

/** Represents a header field of a request or response that is handed over. */
@Serializable
public data class HandedOverField(public val name: String, public val value: String)

/** Represents a request that is handed over. */
@Serializable
public class HandedOverRequest(
    public val method: String,
    public val pathAndQuery: String,
    public val fields: List<HandedOverField>,
    @ByteString public val body: ByteArray,
    public val fingerprint: String,
)

/** Represents the complete response to a request that was handed over. */
@Serializable
public class HandedOverResponse(
    public val status: Int,
    public val fields: List<HandedOverField>,
    @ByteString public val body: ByteArray,
)
