/*
 * Gives each effect to the part that does it. Nothing here waits.
 */
package org.cardamomwharf.entry.loop

import org.cardamomwharf.decision.EntryEffect
import org.cardamomwharf.entry.claims.ClaimThreads
import org.cardamomwharf.entry.documents.DocumentKeeper
import org.cardamomwharf.entry.forwarding.Forwarder
import org.cardamomwharf.entry.metrics.EntryMetrics
import org.cardamomwharf.entry.peers.LoanBook
import org.cardamomwharf.entry.peers.PeerSender
import org.cardamomwharf.entry.requests.RequestBook
import org.cardamomwharf.peer.PeerMessage

/** Represents the parts that do effects. */
public class EffectParts(
    public val book: RequestBook,
    public val forwarder: Forwarder,
    public val peers: PeerSender,
    public val claims: ClaimThreads,
    public val documents: DocumentKeeper,
    public val loans: LoanBook,
)

/** Represents the way from effects to parts. */
public class EffectRouter(private val parts: EffectParts, private val metrics: EntryMetrics) : EffectRunner {
    override fun run(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.ClaimEffect -> parts.claims.workers.take(effect)
            is EntryEffect.ExpireClaims -> parts.claims.expirer.take(effect)
            is EntryEffect.Forward -> parts.forwarder.forward(effect)
            is EntryEffect.HandOver -> parts.peers.handOver(effect)
            is EntryEffect.GrantCredit -> parts.peers.grantCredit(effect.attempt)
            is EntryEffect.Cancel -> cancel(effect)
            is EntryEffect.Respond -> answer(effect)
            is EntryEffect.CountRetry -> metrics.countRetry(effect.service, effect.reason)
            is EntryEffect.FetchDocument -> parts.documents.fetch(effect.head)
            is EntryEffect.FetchDocumentFromPeer -> parts.peers.askDocument(effect.address)
            is EntryEffect.DocumentAdopted -> parts.documents.putInForce(effect.head)
            else -> tell(effect)
        }
    }

    private fun tell(effect: EntryEffect) {
        when (effect) {
            is EntryEffect.SendHeartbeat ->
                parts.peers.sendAll(effect.addresses, PeerMessage.HeartbeatMessage(effect.heartbeat))
            is EntryEffect.SendSummary ->
                parts.peers.sendAll(effect.addresses, PeerMessage.SummaryMessage(effect.summary, isRelayed = false))
            is EntryEffect.RelaySummary ->
                parts.peers.sendAll(effect.addresses, PeerMessage.SummaryMessage(effect.summary, isRelayed = true))
            is EntryEffect.RequestLoan ->
                parts.peers.send(effect.peer.address, PeerMessage.LoanRequestMessage(effect.loan))
            is EntryEffect.ReplyToLoanRequest -> parts.loans.answer(effect.borrower, effect.grant)
            else -> Unit
        }
    }

    private fun cancel(effect: EntryEffect.Cancel) {
        if (!parts.forwarder.cancel(effect.attempt)) parts.peers.cancel(effect.attempt)
    }

    private fun answer(effect: EntryEffect.Respond) {
        parts.book.find(effect.request)?.let { metrics.countAnswer(it.spec.service, effect.reason) }
        parts.book.finish(effect)
    }
}
