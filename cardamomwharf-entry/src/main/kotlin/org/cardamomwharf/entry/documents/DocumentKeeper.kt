/*
 * Fetches documents and their client blocks, from the store or from peers, checks their hashes, and keeps what is in
 * force for look-ups and for peers that ask. The decisions alone say which document is adopted.
 */
package org.cardamomwharf.entry.documents

import com.github.michaelbull.result.get
import org.cardamomwharf.core.CapEpoch
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.ClientBlockTable
import org.cardamomwharf.core.sha256Hex
import org.cardamomwharf.decision.EntryEvent
import org.cardamomwharf.decision.adoption.DocumentHead
import org.cardamomwharf.entry.loop.EventRing
import org.cardamomwharf.logging.ComponentLog
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.decodeDocument
import org.cardamomwharf.repository.hashBlocks
import java.util.concurrent.ConcurrentHashMap

private val log = ComponentLog("documents")

/** Represents a request for contents from the peer that had the document. */
public typealias BlocksAsker = (blocksHash: String) -> Unit

/** Represents the documents that this process has. */
public class DocumentKeeper(private val archive: DocumentArchive, private val ring: EventRing) {
    private val thread = DocumentThread(onFull = ::miss)
    private val shelf = BlockShelf(archive)
    private val candidates = ConcurrentHashMap<String, Held>()

    @Volatile
    private var inForce: Held? = null

    private var waiting: Waiting? = null

    /** Starts the thread that fetches. */
    public fun start() {
        thread.start()
    }

    /** Returns the zone of a client, or null when no block holds it or no document is in force. */
    public fun findZone(address: String): ZoneName? = inForce?.table?.findZone(address)

    /** Fetches the document under [head] from the store. */
    public fun fetch(head: DocumentHead) {
        thread.submit {
            val contents = archive.readContents(head.hash).get()
            if (contents == null) miss() else prepare(head, contents) { miss() }
        }
    }

    /** Takes what a peer answered; [askBlocks] asks the same peer for client blocks that are missing. */
    public fun receive(reply: PeerMessage.ContentsReply, askBlocks: BlocksAsker) {
        thread.submit { if (reply.isBlocks) takeBlocks(reply) else takeDocument(reply, askBlocks) }
    }

    /** Puts the document under [head] in force for look-ups. */
    public fun putInForce(head: DocumentHead) {
        val held = candidates.remove(head.hash) ?: return
        inForce = held
        candidates.clear()
        log.info("Document ${head.version.value} is in force.")
    }

    /** Returns the answer for a peer that asks for the document in force or its client blocks. */
    public fun answer(ask: PeerMessage.ContentsRequest): PeerMessage.ContentsReply {
        val held = inForce
        val version = held?.head?.version ?: DocumentVersion.NONE
        val hash = ask.blocksHash ?: held?.head?.hash.orEmpty()
        val contents = if (ask.blocksHash == null) held?.contents else shelf.findContents(hash)
        val epoch = held?.head?.capEpoch ?: CapEpoch.FIRST
        return PeerMessage.ContentsReply(version, hash, ask.blocksHash != null, contents, epoch)
    }

    private fun takeDocument(reply: PeerMessage.ContentsReply, askBlocks: BlocksAsker) {
        val contents = reply.contents
        if (contents == null || contents.sha256Hex() != reply.hash) {
            miss()
            return
        }
        val head = DocumentHead(reply.version, reply.hash, reply.capEpoch)
        prepare(head, contents) { blocksHash ->
            waiting = Waiting(head, contents)
            askBlocks(blocksHash)
        }
    }

    private fun takeBlocks(reply: PeerMessage.ContentsReply) {
        val wanted = waiting
        val contents = reply.contents
        waiting = null
        if (wanted == null || contents == null || hashBlocks(contents) != reply.hash) {
            miss()
            return
        }
        shelf.put(reply.hash, contents)
        prepare(wanted.head, wanted.contents) { miss() }
    }

    private fun prepare(head: DocumentHead, contents: ByteArray, onMissingBlocks: (String) -> Unit) {
        val stored = decodeDocument(contents)
        val found = shelf.find(stored.blocksHash)
        if (found == null) {
            onMissingBlocks(stored.blocksHash)
            return
        }
        candidates[head.hash] = Held(head, contents, found.table)
        ring.put(EntryEvent.DocumentFetched(head, stored.document))
    }

    private fun miss() {
        ring.put(EntryEvent.DocumentFetchFailed)
    }

    private class Held(val head: DocumentHead, val contents: ByteArray, val table: ClientBlockTable)

    private class Waiting(val head: DocumentHead, val contents: ByteArray)
}
