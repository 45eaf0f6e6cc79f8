/*
 * Two backend servers for tests that respond to each request when, and with what, the test says.
 */
package org.cardamomwharf.forward.support

import org.cardamomwharf.core.SocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val WAIT_S = 20L

/** Events of requests are their IDs with a word. */
internal class ManualServers : AutoCloseable {
    private val events = LinkedBlockingQueue<String>()
    private val actions = ConcurrentHashMap<String, CompletableFuture<(ScriptedConnection) -> Unit>>()
    private val servers = List(2) { ScriptedServer { connection, _ -> serve(connection) } }

    /** Addresses of both servers. */
    val addresses: Array<SocketAddress> = servers.map { it.address }.toTypedArray()

    /** Returns the next event; [count] of them in any order. */
    fun awaitEvents(count: Int): Set<String> =
        List(count) { checkNotNull(events.poll(WAIT_S, TimeUnit.SECONDS)) { "no event" } }.toSet()

    /** Returns the events so far that weren't awaited. */
    fun takeEvents(): List<String> = ArrayList<String>().also { events.drainTo(it) }

    /** Responds to the request [id]. */
    fun respond(id: String) = act(id) {
        events.add("$id answered")
        it.send(responseText(id, "body of $id"))
    }

    /** Resets the connection of each attempt at the request [id]. */
    fun reset(id: String) = act(id) { it.reset() }

    /** Waits until the gateway closes the connection of the request [id], which is an event. */
    fun awaitClose(id: String) = act(id) { if (it.awaitClose()) events.add("$id closed") }

    override fun close() = servers.forEach { it.close() }

    private fun serve(connection: ScriptedConnection) {
        generateSequence { connection.readHead() }.forEach {
            val id = findRequestId(it)
            events.add("$id arrived")
            actionOf(id).get()(connection)
        }
    }

    private fun act(id: String, action: (ScriptedConnection) -> Unit) {
        actionOf(id).complete(action)
    }

    private fun actionOf(id: String) = actions.computeIfAbsent(id) { CompletableFuture() }
}
