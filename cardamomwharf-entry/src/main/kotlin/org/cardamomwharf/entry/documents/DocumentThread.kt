/*
 * Background thread that fetches and verifies documents, with a bounded task queue.
 */
package org.cardamomwharf.entry.documents

import java.util.concurrent.ArrayBlockingQueue

private const val QUEUE_CAPACITY = 64

internal class DocumentThread(private val onFull: () -> Unit) {
    private val tasks = ArrayBlockingQueue<() -> Unit>(QUEUE_CAPACITY)

    fun start() {
        val thread = Thread({ while (!Thread.interrupted()) tasks.take().invoke() }, "documents")
        thread.isDaemon = true
        thread.start()
    }

    fun submit(task: () -> Unit) {
        if (!tasks.offer(task)) onFull()
    }
}
