/*
 * Writes lines on a thread of its own. Those who log never wait: a line that finds no room is dropped and counted.
 */
package org.cardamomwharf.logging

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Lines that wait for the output; a second of the largest allowed rate. */
private const val QUEUED_LINES = 512

/** Represents a bounded queue of lines in front of an output. */
internal class LogLineWriter(private val output: PrintStream, capacity: Int) {
    private val queue = ArrayBlockingQueue<String>(capacity)
    private val dropped = AtomicLong()
    private val unwritten = AtomicInteger()

    /** Queues [line], or drops it when the queue is full. */
    fun offer(line: String) {
        unwritten.incrementAndGet()
        if (!queue.offer(line)) {
            unwritten.decrementAndGet()
            dropped.incrementAndGet()
        }
    }

    /** Writes the next lines that are queued, waiting for the first; the lines that were dropped are told first. */
    fun writeNext() {
        val first = queue.take()
        val text = StringBuilder()
        val lost = dropped.getAndSet(0)
        if (lost > 0) text.append("{\"event\":\"lines-dropped\",\"count\":").append(lost).append("}\n")
        var next: String? = first
        var taken = 0
        while (next != null) {
            taken++
            text.append(next).append('\n')
            next = queue.poll()
        }
        output.print(text)
        output.flush()
        unwritten.addAndGet(-taken)
    }

    /** Waits until all lines have been written, at most [timeoutMs]. */
    fun flush(timeoutMs: Long) {
        val endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        while (unwritten.get() > 0 && System.nanoTime() < endNs) Thread.sleep(1)
    }
}

/** Returns a writer to [output] whose thread is started. */
internal fun startLogLineWriter(output: PrintStream): LogLineWriter {
    val writer = LogLineWriter(output, QUEUED_LINES)
    Thread({ while (true) writer.writeNext() }, "log").apply { isDaemon = true }.start()
    return writer
}
