/*
 * Fetches documents and their client blocks from the object store or from peers, verifies their hashes, and holds the
 * active document for look-ups and for peers. The decision logic determines which document is adopted.
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
import org.cardamomwharf.entry.loop.EventQueue
import org.cardamomwharf.logging.ComponentLog
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.repository.DocumentArchive
import org.cardamomwharf.repository.decodeDocument
import org.cardamomwharf.repository.hashBlocks
import java.util.concurrent.ConcurrentHashMap

private val log = ComponentLog("documents")

/** Requests client blocks from the peer that sent the document. */
public typealias BlocksRequester = (blocksHash: String) -> Unit

/** Fetches documents and holds the active one. */
public class DocumentManager(private val archive: DocumentArchive, private val eventQueue: EventQueue) {
    private val thread = DocumentThread(onFull = ::reportFetchFailure)
    private val blockCache = ClientBlockCache(archive)
    private val candidates = ConcurrentHashMap<String, FetchedDocument>()

    @Volatile
    private var active: FetchedDocument? = null

    private var awaitingBlocks: DocumentAwaitingBlocks? = null

    /** Starts the background thread. */
    public fun start() {
        thread.start()
    }

    /** Returns the zone of a client, or null if no block contains its address or no document is active. */
    public fun findZone(address: String): ZoneName? = active?.table?.findZone(address)

    /** Fetches the document for [head] from the object store. */
    public fun fetch(head: DocumentHead) {
        thread.submit {
            val contents = archive.readContents(head.hash).get()
            if (contents == null) reportFetchFailure() else prepare(head, contents) { reportFetchFailure() }
        }
    }

    /** Handles contents sent by a peer; [requestBlocks] requests missing client blocks from the same peer. */
    public fun receive(reply: PeerMessage.ContentsReply, requestBlocks: BlocksRequester) {
        thread.submit { if (reply.isBlocks) receiveBlocks(reply) else receiveDocument(reply, requestBlocks) }
    }

    /** Makes the fetched document for [head] the active one. */
    public fun activate(head: DocumentHead) {
        val document = candidates.remove(head.hash) ?: return
        active = document
        candidates.clear()
        log.info("Document ${head.version.value} is active.")
    }

    /** Returns the reply to a peer that requests the active document or its client blocks. */
    public fun createReply(request: PeerMessage.ContentsRequest): PeerMessage.ContentsReply {
        val document = active
        val version = document?.head?.version ?: DocumentVersion.NONE
        val hash = request.blocksHash ?: document?.head?.hash.orEmpty()
        val contents = if (request.blocksHash == null) document?.contents else blockCache.findContents(hash)
        val epoch = document?.head?.capEpoch ?: CapEpoch.FIRST
        return PeerMessage.ContentsReply(version, hash, request.blocksHash != null, contents, epoch)
    }

    private fun receiveDocument(reply: PeerMessage.ContentsReply, requestBlocks: BlocksRequester) {
        val contents = reply.contents
        if (contents == null || contents.sha256Hex() != reply.hash) {
            reportFetchFailure()
            return
        }
        val head = DocumentHead(reply.version, reply.hash, reply.capEpoch)
        prepare(head, contents) { blocksHash ->
            awaitingBlocks = DocumentAwaitingBlocks(head, contents)
            requestBlocks(blocksHash)
        }
    }

    private fun receiveBlocks(reply: PeerMessage.ContentsReply) {
        val pending = awaitingBlocks
        val contents = reply.contents
        awaitingBlocks = null
        if (pending == null || contents == null || hashBlocks(contents) != reply.hash) {
            reportFetchFailure()
            return
        }
        blockCache.put(reply.hash, contents)
        prepare(pending.head, pending.contents) { reportFetchFailure() }
    }

    private fun prepare(head: DocumentHead, contents: ByteArray, onMissingBlocks: (String) -> Unit) {
        val stored = decodeDocument(contents)
        val blocks = blockCache.find(stored.blocksHash)
        if (blocks == null) {
            onMissingBlocks(stored.blocksHash)
            return
        }
        candidates[head.hash] = FetchedDocument(head, contents, blocks.table)
        eventQueue.put(EntryEvent.DocumentFetched(head, stored.document))
    }

    private fun reportFetchFailure() {
        eventQueue.put(EntryEvent.DocumentFetchFailed)
    }

    private class FetchedDocument(val head: DocumentHead, val contents: ByteArray, val table: ClientBlockTable)

    private class DocumentAwaitingBlocks(val head: DocumentHead, val contents: ByteArray)
}
