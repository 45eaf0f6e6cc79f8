/*
 * Defines the events that an entry instance handles. Replaying a file of events yields the same effects each time.
 */
package org.cardamomwharf.decision

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.AttemptId
import org.cardamomwharf.core.InstanceName
import org.cardamomwharf.core.RequestId
import org.cardamomwharf.core.ServerName
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.decision.caps.LoanGrant
import org.cardamomwharf.decision.caps.LoanRequest
import org.cardamomwharf.decision.claims.ClaimReply
import org.cardamomwharf.decision.membership.Heartbeat
import org.cardamomwharf.decision.membership.ListedInstance
import org.cardamomwharf.decision.membership.ZoneSummary
import org.cardamomwharf.decision.requests.AttemptResult
import org.cardamomwharf.decision.requests.RequestSpec
import org.cardamomwharf.decision.servers.ListedServer
import org.cardamomwharf.decision.servers.LoadReport

/** Represents an input to the decisions of an entry instance. */
@Serializable
public sealed interface EntryEvent {
    /** Time has passed; [epochSeconds] is the wall clock time, which planned drains refer to. */
    @Serializable
    public data class Tick(public val epochSeconds: Long) : EntryEvent

    /** The head row of the environment was read. */
    @Serializable
    public data class HeadRead(public val head: DocumentHead) : EntryEvent

    /** A document was fetched and its hash verified. Its client blocks are not part of the decision state. */
    @Serializable
    public data class DocumentFetched(
        public val head: DocumentHead,
        public val document: EnvironmentDocument,
    ) : EntryEvent

    /** A document could not be fetched. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.DocumentMissed")
    public data object DocumentFetchFailed : EntryEvent

    /** The list of instances and servers was read from the platform. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.ListRead")
    public data class PlatformListRead(
        public val instances: List<ListedInstance>,
        public val servers: List<ListedServer>,
    ) : EntryEvent

    /** A heartbeat arrived. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.HeartbeatHeard")
    public data class HeartbeatReceived(public val heartbeat: Heartbeat) : EntryEvent

    /** A zone summary arrived, either directly from its zone or relayed by a peer of the own zone. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.SummaryHeard")
    public data class SummaryReceived(
        public val summary: ZoneSummary,
        @SerialName("isPassedOn")
        public val isRelayed: Boolean,
    ) : EntryEvent

    /** A backend server reported its load. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.LoadHeard")
    public data class LoadReported(public val server: ServerName, public val report: LoadReport) : EntryEvent

    /** A peer requested a quota loan. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.LoanAsked")
    public data class LoanRequested(public val request: LoanRequest) : EntryEvent

    /** A peer replied to a loan request of this instance. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.LoanAnswered")
    public data class LoanReplyReceived(public val grant: LoanGrant) : EntryEvent

    /** A request was received completely. */
    @Serializable
    public data class RequestArrived(public val spec: RequestSpec) : EntryEvent

    /** The table service replied to an operation on the claim of a request. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.ClaimAnswered")
    public data class ClaimReplyReceived(public val request: RequestId, public val reply: ClaimReply) : EntryEvent

    /** The table service deleted [rows] old claim rows; null when it did not reply. */
    @Serializable
    public data class ClaimsExpired(public val rows: Int?) : EntryEvent

    /** An attempt ended. */
    @Serializable
    public data class AttemptEnded(public val attempt: AttemptId, public val result: AttemptResult) : EntryEvent

    /** A peer has a response that exceeds the credit granted to it by [missingBytes]. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.CreditAsked")
    public data class CreditRequested(public val attempt: AttemptId, public val missingBytes: Long) : EntryEvent

    /** The caller of a request closed its connection. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.CallerGone")
    public data class CallerDisconnected(public val request: RequestId) : EntryEvent

    /** A peer closed its connection to this instance. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.PeerClosed")
    public data class PeerDisconnected(public val peer: InstanceName) : EntryEvent

    /** A graceful shutdown of this instance was requested. */
    @Serializable
    @SerialName("org.cardamomwharf.decision.EntryEvent.LeaveAsked")
    public data object LeaveRequested : EntryEvent
}
