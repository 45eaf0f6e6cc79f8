/*
 * Defines the effects that the decisions return. The process around the decisions carries them out.
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

/** Represents an action that the process must carry out. */
@Serializable
public sealed interface EntryEffect {
    /** Represents an operation on one claim row. */
    @Serializable
    public sealed interface ClaimEffect : EntryEffect {
        /** The request that needs the claim. */
        public val request: RequestId

        /** The name of the claim row. */
        public val claim: ClaimName

        /** The attempt on whose behalf the row is read or written. */
        public val attempt: AttemptId
    }

    /** Inserts the claim row unless it exists; the result comes back as [EntryEvent.ClaimReplyReceived]. */
    @Serializable
    public data class InsertClaim(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
        public val fingerprint: String,
    ) : ClaimEffect

    /** Reads the claim row; the result comes back as [EntryEvent.ClaimReplyReceived]. */
    @Serializable
    public data class ReadClaim(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
    ) : ClaimEffect

    /** Replaces a released claim row; the result comes back as [EntryEvent.ClaimReplyReceived]. */
    @Serializable
    public data class ReplaceClaim(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
        public val fingerprint: String,
        public val rowVersion: String,
    ) : ClaimEffect

    /** Marks the claim row as released, if it is absent or names [attempt], because the request did not run. */
    @Serializable
    public data class ReleaseClaim(
        override val request: RequestId,
        override val claim: ClaimName,
        override val attempt: AttemptId,
        public val fingerprint: String,
    ) : ClaimEffect

    /** Records the response in the claim row. */
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

    /**
     * Deletes up to [limit] claim rows that were last written at least [unwrittenForSeconds] ago; the result comes back
     * as [EntryEvent.ClaimsExpired].
     */
    @Serializable
    public data class ExpireClaims(public val unwrittenForSeconds: Long, public val limit: Int) : EntryEffect

    /** Sends the request to a backend server of the own zone. */
    @Serializable
    public data class Forward(
        public val request: RequestId,
        public val attempt: AttemptId,
        public val server: ServerName,
        public val address: SocketAddress,
        public val isFreshConnection: Boolean,
    ) : EntryEffect

    /**
     * Hands the request over to another entry instance.
     *
     * @param creditBytes maximum size of a response that the peer may send without waiting for [GrantCredit].
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

    /** Allows the peer to send the whole response to an attempt. */
    @Serializable
    public data class GrantCredit(public val attempt: AttemptId) : EntryEffect

    /** Cancels an attempt; its result is still reported as [EntryEvent.AttemptEnded]. */
    @Serializable
    public data class Cancel(public val attempt: AttemptId) : EntryEffect

    /**
     * Sends the final response to the request.
     *
     * @param attempt the attempt whose response is relayed, or null when no attempt completed.
     * @param recorded the response that was recorded under the key by an earlier request.
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

    /** Counts a retry of a request in the metrics. */
    @Serializable
    public data class CountRetry(public val service: ServiceName, public val reason: Reason) : EntryEffect

    /** Fetches the document under [head] from the object store. */
    @Serializable
    public data class FetchDocument(public val head: DocumentHead) : EntryEffect

    /** Fetches a newer document from a peer. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.FetchFromPeer")
    public data class FetchDocumentFromPeer(
        public val peer: InstanceName,
        public val address: SocketAddress,
    ) : EntryEffect

    /** Reports that the document under [head] is now in effect. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.Adopted")
    public data class DocumentAdopted(public val head: DocumentHead) : EntryEffect

    /** Sends a heartbeat to all other instances of the own zone. */
    @Serializable
    public data class SendHeartbeat(
        public val heartbeat: Heartbeat,
        public val addresses: List<PeerAddress>,
    ) : EntryEffect

    /** Sends a summary of the own zone to the delegates of another zone. */
    @Serializable
    public data class SendSummary(
        public val summary: ZoneSummary,
        public val zone: ZoneName,
        public val addresses: List<PeerAddress>,
    ) : EntryEffect

    /** Relays a summary of another zone to the instances of the own zone. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.PassOnSummary")
    public data class RelaySummary(
        public val summary: ZoneSummary,
        public val addresses: List<PeerAddress>,
    ) : EntryEffect

    /** Requests a quota loan from a peer. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.AskLoan")
    public data class RequestLoan(public val peer: PeerAddress, public val loan: LoanRequest) : EntryEffect

    /** Replies to a loan request of a peer. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEffect.AnswerLoan")
    public data class ReplyToLoanRequest(public val borrower: InstanceName, public val grant: LoanGrant) : EntryEffect

    /** Lets the process exit, because no requests are left. */
    @Serializable
    public data object Exit : EntryEffect
}

/** Represents the name of a claim row. */
@Serializable
public data class ClaimName(public val service: ServiceName, public val key: String)

/** Represents an entry instance with its address for peers. */
@Serializable
public data class PeerAddress(public val name: InstanceName, public val address: SocketAddress)
