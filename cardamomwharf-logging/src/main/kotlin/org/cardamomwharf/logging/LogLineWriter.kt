/*
 * Writes log lines on a separate thread. Logging never blocks: a line is dropped and counted when the queue is full.
 */
package org.cardamomwharf.logging

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Capacity of the queue, which holds the lines of one second at the maximum allowed rate. */
private const val QUEUE_CAPACITY_LINES = 512

/** Represents a bounded queue of lines in front of an output. */
internal class LogLineWriter(private val output: PrintStream, capacity: Int) {
    private val queue = ArrayBlockingQueue<String>(capacity)
    private val droppedLines = AtomicLong()
    private val pendingCount = AtomicInteger()

    /** Queues [line], or drops it when the queue is full. */
    fun offer(line: String) {
        pendingCount.incrementAndGet()
        if (!queue.offer(line)) {
            pendingCount.decrementAndGet()
            droppedLines.incrementAndGet()
        }
    }

    /** Waits for a line and writes all queued lines, preceded by the number of lines dropped since the last write. */
    fun writeNext() {
        val first = queue.take()
        val text = StringBuilder()
        val droppedCount = droppedLines.getAndSet(0)
        if (droppedCount > 0) text.append("{\"event\":\"lines-dropped\",\"count\":").append(droppedCount).append("}\n")
        var next: String? = first
        var writtenCount = 0
        while (next != null) {
            writtenCount++
            text.append(next).append('\n')
            next = queue.poll()
        }
        output.print(text)
        output.flush()
        pendingCount.addAndGet(-writtenCount)
    }

    /** Waits up to [timeoutMs] until all lines have been written. */
    fun flush(timeoutMs: Long) {
        val deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        while (pendingCount.get() > 0 && System.nanoTime() < deadlineNs) Thread.sleep(1)
    }
}

/** Returns a writer to [output] with a started thread. */
internal fun startLogLineWriter(output: PrintStream): LogLineWriter {
    val writer = LogLineWriter(output, QUEUE_CAPACITY_LINES)
    Thread({ while (true) writer.writeNext() }, "log").apply { isDaemon = true }.start()
    return writer
}
