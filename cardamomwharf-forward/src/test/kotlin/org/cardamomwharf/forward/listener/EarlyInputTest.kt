/*
 * The buffer of bytes that callers send while a response is pending is bounded and keeps the order of the bytes.
 */
package org.cardamomwharf.forward.listener

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.eclipse.jetty.util.BufferUtil
import java.nio.ByteBuffer

private const val PIECE_BYTES = 1_000
private const val READ_BYTES = 700

/** Appends the next bytes of an endless sequence, as many as fit, and returns their number. */
private fun appendNext(target: ByteBuffer, start: Int): Int {
    val count = minOf(BufferUtil.space(target), PIECE_BYTES)
    BufferUtil.append(target, ByteBuffer.wrap(ByteArray(count) { (start + it).toByte() }))
    return count
}

class EarlyInputTest : FunSpec({
    test("`input without end is taken up to the bound`") {
        val input = EarlyInput()
        var count = 0
        while (!input.isFull) {
            val added = input.append { appendNext(it, count) }
            added shouldBeGreaterThan 0
            count += added
        }
        count shouldBe MAX_EARLY_BYTES
        input.bytes.remaining() shouldBe MAX_EARLY_BYTES
    }

    test("`bytes keep their order while some are read and others are added`") {
        val input = EarlyInput()
        val read = ArrayList<Byte>()
        var count = 0
        repeat(MAX_EARLY_BYTES / PIECE_BYTES) {
            count += input.append { appendNext(it, count) }
            val target = BufferUtil.allocate(READ_BYTES)
            input.moveTo(target)
            read += BufferUtil.toArray(target).toList()
        }
        while (input.size > 0) {
            val target = BufferUtil.allocate(READ_BYTES)
            input.moveTo(target)
            read += BufferUtil.toArray(target).toList()
        }
        read shouldBe List(count) { it.toByte() }
    }
})
