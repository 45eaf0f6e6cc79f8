/*
 * Tests that lines are written in order and that lines beyond the queue capacity are dropped and counted.
 */
package org.cardamomwharf.logging

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.ByteArrayOutputStream
import java.io.PrintStream

class LogLineWriterTest : FunSpec({
    test("`queued lines are written in order, each on a line of its own`") {
        val bytes = ByteArrayOutputStream()
        val writer = LogLineWriter(PrintStream(bytes), capacity = 4)
        listOf("a", "b", "c").forEach { writer.offer(it) }
        writer.writeNext()
        bytes.toString() shouldBe "a\nb\nc\n"
    }

    test("`the number of dropped lines is written before the next lines`") {
        val bytes = ByteArrayOutputStream()
        val writer = LogLineWriter(PrintStream(bytes), capacity = 2)
        listOf("a", "b", "c", "d").forEach { writer.offer(it) }
        writer.writeNext()
        bytes.toString() shouldBe "{\"event\":\"lines-dropped\",\"count\":2}\na\nb\n"
    }

    test("`a line of a library contains its cause, and lines below the level of the library are skipped`") {
        val bytes = ByteArrayOutputStream()
        val writer = LogLineWriter(PrintStream(bytes), capacity = 4)
        val context = DecisionLogContext(writer)
        val library = context.getLogger("org.eclipse.jetty.server.Server")
        library.info("started")
        library.warn("could not accept", IllegalStateException("no room"))
        context.getLogger("cardamomwharf.decisions").info("{}")
        writer.writeNext()
        bytes.toString() shouldBe "could not accept: java.lang.IllegalStateException: no room\n{}\n"
    }
})
