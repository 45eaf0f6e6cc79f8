/*
 * The messages between entry instances. Each is one frame: its size in four bytes, then CBOR. An instance dials the
 * peers that it has something to tell; answers come back on the same connection.
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
    /** Tells the state of an instance to a peer of its zone. */
    @Serializable
    @SerialName("h")
    public data class HeartbeatMessage(@CborLabel(1) public val heartbeat: Heartbeat) : PeerMessage

    /** Tells the state of a zone. */
    @Serializable
    @SerialName("s")
    public data class SummaryMessage(
        @CborLabel(1) public val summary: ZoneSummary,
        @CborLabel(2) public val isPassedOn: Boolean,
    ) : PeerMessage

    /** Asks for proof that the connection works. */
    @Serializable
    @SerialName("p")
    public data object Ping : PeerMessage

    /** Proves that the connection works. */
    @Serializable
    @SerialName("a")
    public data object Ack : PeerMessage

    /** Asks for a loan. */
    @Serializable
    @SerialName("l")
    public data class LoanRequestMessage(public val request: LoanRequest) : PeerMessage

    /** Answers [LoanRequestMessage]. */
    @Serializable
    @SerialName("g")
    public data class LoanGrantMessage(public val grant: LoanGrant) : PeerMessage

    /** Asks for the document in force at the peer, or for client blocks under [blocksHash]. */
    @Serializable
    @SerialName("d")
    public data class ContentsRequest(public val blocksHash: String? = null) : PeerMessage

    /** Answers [ContentsRequest]; [contents] is null when the peer has none. */
    @Serializable
    @SerialName("c")
    public class ContentsReply(
        public val version: DocumentVersion,
        public val hash: String,
        public val isBlocks: Boolean,
        @ByteString public val contents: ByteArray?,
        public val capEpoch: CapEpoch = CapEpoch.FIRST,
    ) : PeerMessage

    /** Hands a request over. */
    @Serializable
    @SerialName("r")
    public class HandOver(
        public val attempt: AttemptId,
        public val claimAttempt: AttemptId,
        public val service: ServiceName,
        public val request: HandedOverRequest,
        public val limits: HandOverLimits,
    ) : PeerMessage

    /** Answers [HandOver]; [answer] is present when the request ran. */
    @Serializable
    @SerialName("e")
    public class HandOverReply(
        public val attempt: AttemptId,
        public val reason: Reason,
        public val retryAfterMs: Long,
        @SerialName("answer") public val response: HandedOverResponse?,
    ) : PeerMessage

    /** Tells that the answer is [missingBytes] larger than its credit and waits for [CreditGrant]. */
    @Serializable
    @SerialName("w")
    public data class CreditRequest(public val attempt: AttemptId, public val missingBytes: Long) : PeerMessage

    /** Lets the whole answer be sent. */
    @Serializable
    @SerialName("k")
    public data class CreditGrant(public val attempt: AttemptId) : PeerMessage

    /** Stops a request that was handed over. */
    @Serializable
    @SerialName("x")
    public data class Cancel(public val attempt: AttemptId) : PeerMessage
}

/**
 * Represents the bounds of a request that is handed over.
 *
 * @param remainingMs what is left of the deadline.
 * @param creditBytes size up to which the answer may be sent at once.
 */
@Serializable
public data class HandOverLimits(
    public val isIdempotent: Boolean,
    public val remainingMs: Long,
    public val creditBytes: Long,
    public val clientZone: ZoneName? = null,
)

/** Represents a header field. */
@Serializable
public data class HandedOverField(public val name: String, public val value: String)

/** Represents a request as it is handed over. */
@Serializable
public class HandedOverRequest(
    public val method: String,
    public val pathAndQuery: String,
    public val fields: List<HandedOverField>,
    @ByteString public val body: ByteArray,
    public val fingerprint: String,
)

/** Represents a whole answer as it is handed back. */
@Serializable
public class HandedOverResponse(
    public val status: Int,
    public val fields: List<HandedOverField>,
    @ByteString public val body: ByteArray,
)
