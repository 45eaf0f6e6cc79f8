/*
 * A message to one or more peers. It is encoded once, by the first connection that writes it.
 */
package org.cardamomwharf.peer

internal class OutgoingMessage(val message: PeerMessage) {
    val frame: ByteArray by lazy { encodeMessage(message) }
}
