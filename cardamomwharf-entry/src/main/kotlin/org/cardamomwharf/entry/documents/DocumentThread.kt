/*
 * The thread that fetches and checks documents, with a bounded ring in front of it.
 */
package org.cardamomwharf.entry.documents

import java.util.concurrent.ArrayBlockingQueue

private const val RING_CAPACITY = 64

internal class DocumentThread(private val onFull: () -> Unit) {
    private val duties = ArrayBlockingQueue<() -> Unit>(RING_CAPACITY)

    fun start() {
        val thread = Thread({ while (!Thread.interrupted()) duties.take().invoke() }, "documents")
        thread.isDaemon = true
        thread.start()
    }

    fun submit(duty: () -> Unit) {
        if (!duties.offer(duty)) onFull()
    }
}
