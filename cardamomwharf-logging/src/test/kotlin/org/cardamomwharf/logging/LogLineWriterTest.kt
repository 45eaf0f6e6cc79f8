/*
 * Lines go out in order; those that find no room are counted, and nobody waits.
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

    test("`lines that find no room are told with the next line`") {
        val bytes = ByteArrayOutputStream()
        val writer = LogLineWriter(PrintStream(bytes), capacity = 2)
        listOf("a", "b", "c", "d").forEach { writer.offer(it) }
        writer.writeNext()
        bytes.toString() shouldBe "{\"event\":\"lines-dropped\",\"count\":2}\na\nb\n"
    }

    test("`a library's line carries its cause, and levels below its own are off`") {
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
