/*
 * Everything that the decisions ask the process around them to do, as values.
 */
package org.cardamomwharf.decision

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.caps.LoanGrant
import org.cardamomwharf.decision.caps.LoanRequest
import org.cardamomwharf.decision.claims.Binding
import org.cardamomwharf.decision.claims.RecordedResponse
import org.cardamomwharf.decision.membership.Heartbeat
import org.cardamomwharf.decision.membership.ZoneSummary

/** Represents something that the process has to do. */
@Serializable
public sealed interface EntryEffect {
    /** Represents an effect on one claim row. */
    @Serializable
    public sealed interface ClaimEffect : EntryEffect {
        /** The request that the claim belongs to. */
        public val request: RequestId

        /** The name of the claim. */
        public val claim: ClaimName

        /** The attempt that acts. */
        public val attempt: AttemptId
    }

    /** Insert the claim row unless it exists, and answer with `ClaimReplyReceived`. */
    @Serializable
    public data class InsertClaim(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
        public val fingerprint: String,
    ) : ClaimEffect

    /** Read the claim row, and answer with `ClaimReplyReceived`. */
    @Serializable
    public data class ReadClaim(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
    ) : ClaimEffect

    /** Replace a released claim row, and answer with `ClaimReplyReceived`. */
    @Serializable
    public data class ReplaceClaim(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
        public val fingerprint: String,
        public val rowVersion: String,
    ) : ClaimEffect

    /** Mark the claim row as released, if it is absent or names [attempt]; nothing ran. */
    @Serializable
    public data class ReleaseClaim(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
        public val fingerprint: String,
    ) : ClaimEffect

    /** Record the answer in the claim row. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.RecordAnswer")
    public data class RecordResponse(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
        public val fingerprint: String,
        @SerialName("answer")
        public val response: RecordedResponse,
    ) : ClaimEffect

    /** Delete up to [limit] claim rows that weren't written for this long, and answer with `ClaimsExpired`. */
    @Serializable
    public data class ExpireClaims(public val unwrittenForSeconds: Long, public val limit: Int) : EntryEffect

    /** Send the request to a backend server of the own zone. */
    @Serializable
    public data class Forward(
        public val request: RequestId,
        public val attempt: AttemptId,
        public val server: ServerName,
        public val address: SocketAddress,
        public val isFreshConnection: Boolean,
    ) : EntryEffect

    /**
     * Hand the request over to another entry instance.
     *
     * @param creditBytes size up to which the answer may be sent at once; a larger one waits for [GrantCredit].
     */
    @Serializable
    public data class HandOver(
        public val request: RequestId,
        public val attempt: AttemptId,
        public val claimAttempt: AttemptId,
        public val peer: InstanceName,
        public val address: SocketAddress,
        public val creditBytes: Long,
    ) : EntryEffect

    /** Tell the peer that it may send the whole answer of an attempt. */
    @Serializable
    public data class GrantCredit(public val attempt: AttemptId) : EntryEffect

    /** Stop an attempt; its end is still reported. */
    @Serializable
    public data class Cancel(public val attempt: AttemptId) : EntryEffect

    /**
     * Give the request its final answer.
     *
     * @param attempt the attempt whose answer is relayed, for requests that ran now.
     * @param recorded the answer that was recorded under the key before.
     * @param offeredBinding the binding that the caller may use for this key while the table service is down.
     */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.Answer")
    public data class Respond(
        public val request: RequestId,
        public val reason: Reason,
        public val retryAfterMs: Long = 0,
        public val attempt: AttemptId? = null,
        public val recorded: RecordedResponse? = null,
        @SerialName("offer")
        public val offeredBinding: Binding? = null,
    ) : EntryEffect

    /** Count a further try of a request. */
    @Serializable
    public data class CountRetry(public val service: ServiceName, public val reason: Reason) : EntryEffect

    /** Fetch the document under [head] from the object store. */
    @Serializable
    public data class FetchDocument(public val head: DocumentHead) : EntryEffect

    /** Fetch a newer document from a peer. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.FetchFromPeer")
    public data class FetchDocumentFromPeer(
        public val peer: InstanceName,
        public val address: SocketAddress,
    ) : EntryEffect

    /** The document [head] is in force from now on. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.Adopted")
    public data class DocumentAdopted(public val head: DocumentHead) : EntryEffect

    /** Send a heartbeat to all instances of the own zone. */
    @Serializable
    public data class SendHeartbeat(
        public val heartbeat: Heartbeat,
        public val addresses: List<PeerAddress>,
    ) : EntryEffect

    /** Send a summary of the own zone to delegates of another. */
    @Serializable
    public data class SendSummary(
        public val summary: ZoneSummary,
        public val zone: ZoneName,
        public val addresses: List<PeerAddress>,
    ) : EntryEffect

    /** Pass a summary of another zone on to the instances of the own zone. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.PassOnSummary")
    public data class RelaySummary(
        public val summary: ZoneSummary,
        public val addresses: List<PeerAddress>,
    ) : EntryEffect

    /** Ask a peer for a loan. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.AskLoan")
    public data class RequestLoan(public val peer: PeerAddress, public val loan: LoanRequest) : EntryEffect

    /** Answer a peer's request for a loan. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.AnswerLoan")
    public data class ReplyToLoanRequest(public val borrower: InstanceName, public val grant: LoanGrant) : EntryEffect

    /** Nothing is left to finish; the process may end. */
    @Serializable
    public data object Exit : EntryEffect
}

/** Represents the name of a claim row. */
@Serializable
public data class ClaimName(public val service: ServiceName, public val key: String)

/** Represents an entry instance with the address that peers use. */
@Serializable
public data class PeerAddress(public val name: InstanceName, public val address: SocketAddress)
