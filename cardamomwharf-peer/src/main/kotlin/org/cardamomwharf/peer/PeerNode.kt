/*
 * All connections between this instance and its peers. One thread waits for sockets, another does the work: a selector
 * blocks its thread for half a second at a time, and work on that thread would wait as long.
 */
package org.cardamomwharf.peer

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.cardamomwharf.core.Clock
import org.cardamomwharf.core.Reason
import org.cardamomwharf.core.SocketAddress
import org.cardamomwharf.decision.requests.AttemptResult
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/** Represents the connections of one instance. */
public class PeerNode internal constructor(
    private val settings: PeerSettings,
    private val clock: Clock,
    private val handler: PeerHandler,
) : AutoCloseable {
    private val executor = newDaemonThread("peers")
    private val selecting = newDaemonThread("peers-select")
    private val dispatcher = executor.asCoroutineDispatcher()
    private val selector = SelectorManager(selecting.asCoroutineDispatcher())
    private val ignoring = CoroutineExceptionHandler { _, _ -> }
    private val scope = CoroutineScope(dispatcher + SupervisorJob() + ignoring)
    private val links = ConcurrentHashMap<SocketAddress, PeerLink>()

    internal fun listen(address: SocketAddress) {
        val server = PeerServer(settings, handler)
        val socket = runBlocking(dispatcher) { server.bind(selector, address) }
        scope.launch { server.accept(scope, socket) }
    }

    /** Sends [message] to the peer at [address]; returns false when its queue is full. */
    public fun send(address: SocketAddress, message: PeerMessage): Boolean = linkTo(address).send(Outgoing(message))

    /** Sends [message] to all [addresses], encoded once; returns the number of peers whose queue is full. */
    public fun sendAll(addresses: List<SocketAddress>, message: PeerMessage): Int {
        val outgoing = Outgoing(message)
        return addresses.count { !linkTo(it).send(outgoing) }
    }

    /** Hands a request over; a connection that isn't proven alive is replaced by a new one first. */
    public fun handOver(address: SocketAddress, message: PeerMessage.HandOver) {
        val known = linkTo(address)
        val link = if (known.isProven) known else renew(address, known)
        if (!link.send(Outgoing(message))) {
            handler.endHandOver(message.attempt, AttemptResult.NotSent(Reason.PEER_UNREACHABLE))
        }
    }

    private fun linkTo(address: SocketAddress): PeerLink =
        links.compute(address) { _, known -> if (known == null || known.isClosed) open(address) else known }!!

    private fun renew(address: SocketAddress, old: PeerLink): PeerLink =
        links.compute(address) { _, known -> if (known == null || known === old) open(address) else known }!!

    private fun open(address: SocketAddress): PeerLink =
        PeerLink(address, settings, clock, handler).also { it.start(scope, selector) }

    override fun close() {
        scope.cancel()
        selector.close()
        executor.shutdownNow()
        selecting.shutdownNow()
    }
}

private fun newDaemonThread(name: String): ExecutorService =
    Executors.newSingleThreadExecutor { Thread(it, name).apply { isDaemon = true } }

/** Returns the connections of an instance that listens at [address]. */
public fun startPeerNode(
    address: SocketAddress,
    settings: PeerSettings,
    clock: Clock,
    handler: PeerHandler,
): PeerNode = PeerNode(settings, clock, handler).also { it.listen(address) }
