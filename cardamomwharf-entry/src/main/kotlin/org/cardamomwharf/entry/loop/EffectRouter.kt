/*
 * Dispatches each effect to the component that executes it, without blocking.
 */
package org.cardamomwharf.entry.loop

import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.entry.claims.ClaimThreads
import org.cardamomwharf.entry.documents.DocumentManager
import org.cardamomwharf.entry.forwarding.Forwarder
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.entry.peers.LoanReplySenders
import org.cardamomwharf.entry.peers.PeerSender
import org.cardamomwharf.entry.requests.RequestRegistry
import org.cardamomwharf.peer.PeerMessage

/** Holds the components that execute effects. */
public class EffectHandlers(
    public val requestRegistry: RequestRegistry,
    public val forwarder: Forwarder,
    public val peers: PeerSender,
    public val claimThreads: ClaimThreads,
    public val documentManager: DocumentManager,
    public val loanReplySenders: LoanReplySenders,
)

/** Dispatches effects to [handlers]. */
public class EffectRouter(private val handlers: EffectHandlers, private val metrics: EntryMetrics) : EffectRunner {
    override fun run(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.ClaimEffect -> handlers.claimThreads.workers.submit(effect)
            is EntryEffect.ExpireClaims -> handlers.claimThreads.expirer.submit(effect)
            is EntryEffect.Forward -> handlers.forwarder.forward(effect)
            is EntryEffect.HandOver -> handlers.peers.handOver(effect)
            is EntryEffect.GrantCredit -> handlers.peers.grantCredit(effect.attempt)
            is EntryEffect.Cancel -> cancel(effect)
            is EntryEffect.Respond -> respond(effect)
            is EntryEffect.CountRetry -> metrics.countRetry(effect.service, effect.reason)
            is EntryEffect.FetchDocument -> handlers.documentManager.fetch(effect.head)
            is EntryEffect.FetchDocumentFromPeer -> handlers.peers.requestDocument(effect.address)
            is EntryEffect.DocumentAdopted -> handlers.documentManager.activate(effect.head)
            else -> sendToPeers(effect)
        }
    }

    private fun sendToPeers(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.SendHeartbeat ->
                handlers.peers.sendAll(effect.addresses, PeerMessage.HeartbeatMessage(effect.heartbeat))
            is EntryEffect.SendSummary ->
                handlers.peers.sendAll(effect.addresses, PeerMessage.SummaryMessage(effect.summary, isRelayed = false))
            is EntryEffect.RelaySummary ->
                handlers.peers.sendAll(effect.addresses, PeerMessage.SummaryMessage(effect.summary, isRelayed = true))
            is EntryEffect.RequestLoan ->
                handlers.peers.send(effect.peer.address, PeerMessage.LoanRequestMessage(effect.loan))
            is EntryEffect.ReplyToLoanRequest -> handlers.loanReplySenders.reply(effect.borrower, effect.grant)
            else -> Unit
        }
    }

    private fun cancel(effect: EntryEffect.Cancel) {
        if (!handlers.forwarder.cancel(effect.attempt)) handlers.peers.cancel(effect.attempt)
    }

    private fun respond(effect: EntryEffect.Respond) {
        handlers.requestRegistry.find(effect.request)?.let { metrics.countResponse(it.spec.service, effect.reason) }
        handlers.requestRegistry.complete(effect)
    }
}
