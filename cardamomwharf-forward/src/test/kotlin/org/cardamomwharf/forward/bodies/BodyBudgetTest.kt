/*
 * The budget of bodies without a network: its bounds under many reservations, the room of small bodies, growth of
 * responses, and that everything is given back.
 */
package org.cardamomwharf.forward.bodies

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import java.nio.ByteBuffer
import kotlin.random.Random

private const val GENERAL = 600_000L
private const val OVERFLOW = 300_000L
private const val SMALL = 100_000L
private const val LARGE_BODY = 200_000L
private const val SMALL_BODY = 10_000L
private const val STEPS = 20_000
private const val MB = 1_048_576L

private fun createBudget() = createBodyBudget(BodyBudgetSettings(GENERAL, OVERFLOW, SMALL))

private fun BodyBudget.fill(bytes: Long, isSmall: Boolean): List<BodyReservation> =
    generateSequence { reserve(bytes, isSmall) }.toList()

class BodyBudgetTest : FunSpec({
    test("`large bodies never take the part of small ones`") {
        val budget = createBudget()
        val large = budget.fill(LARGE_BODY, isSmall = false)
        large.size shouldBe 3
        large.forEach { it.grow(LARGE_BODY + OVERFLOW / 3, BodyBound.RESPONSE) shouldBe true }
        large.first().grow(LARGE_BODY + OVERFLOW, BodyBound.RESPONSE) shouldBe false
        val small = budget.fill(SMALL_BODY, isSmall = true)
        small.size shouldBe 10
        (large + small).forEach { it.release() }
        budget.heldBytes shouldBe 0
    }

    test("`small bodies use the general part when their own is full, but not the part for growing responses`") {
        val budget = createBudget()
        val small = budget.fill(SMALL_BODY, isSmall = true)
        budget.heldBytes shouldBe GENERAL + SMALL
        small.first().grow(OVERFLOW, BodyBound.RESPONSE) shouldBe true
        small.forEach { it.release() }
        budget.heldBytes shouldBe 0
    }

    test("`a request that was sent may grow where one that wasn't is refused`") {
        val budget = createBudget()
        val body = checkNotNull(budget.reserve(GENERAL, isSmall = false))
        body.grow(GENERAL + 1, BodyBound.ADMISSION) shouldBe false
        body.grow(GENERAL + OVERFLOW, BodyBound.RESPONSE) shouldBe true
        body.grow(GENERAL + OVERFLOW + 1, BodyBound.RESPONSE) shouldBe false
        budget.heldBytes shouldBe GENERAL + OVERFLOW
        body.shrink(1)
        budget.heldBytes shouldBe 1
    }

    test("`a released reservation takes nothing again`") {
        val budget = createBudget()
        val body = checkNotNull(budget.reserve(LARGE_BODY, isSmall = false))
        body.release()
        body.grow(1, BodyBound.RESPONSE) shouldBe false
        body.release()
        budget.heldBytes shouldBe 0
    }

    test("`any sequence of reservations stays within the bounds and returns to zero`") {
        val random = Random(1)
        val budget = createBudget()
        val held = ArrayList<BodyReservation>()
        repeat(STEPS) {
            when (random.nextInt(4)) {
                0 -> budget.reserve(random.nextLong(SMALL_BODY_BYTES), isSmall = true)?.let(held::add)
                1 -> budget.reserve(random.nextLong(LARGE_BODY), isSmall = false)?.let(held::add)
                2 -> held.randomOrNull(random)?.grow(random.nextLong(2 * LARGE_BODY), BodyBound.entries.random(random))
                else -> held.randomOrNull(random)?.let { if (random.nextBoolean()) it.release() else it.shrink(9) }
            }
            budget.heldBytes shouldBe held.sumOf { it.bytes }
            budget.heldBytes shouldBeLessThanOrEqual budget.settings.totalBytes
            held.filter { !it.isSmall }.sumOf { it.bytes } shouldBeLessThanOrEqual GENERAL + OVERFLOW
        }
        held.forEach { it.release() }
        budget.heldBytes shouldBe 0
    }

    test("`a buffer holds no more than its reservation, and a body of the declared length isn't copied`") {
        val budget = createBudget()
        val buffer = BodyBuffer(GENERAL.toInt(), BodyBound.ADMISSION)
        buffer.append(ByteBuffer.allocate(1)) shouldBe BodyBufferError.NO_ROOM
        buffer.reservation = budget.reserve(0, isSmall = false)
        buffer.declaredBytes = LARGE_BODY
        buffer.append(ByteBuffer.allocate(1)) shouldBe null
        budget.heldBytes shouldBe LARGE_BODY
        buffer.append(ByteBuffer.allocate(LARGE_BODY.toInt() - 1)) shouldBe null
        (buffer.toByteArray() === buffer.toByteArray()) shouldBe true
        buffer.append(ByteBuffer.allocate(GENERAL.toInt())) shouldBe BodyBufferError.TOO_LARGE
        val other = checkNotNull(budget.reserve(GENERAL - LARGE_BODY, isSmall = false))
        buffer.append(ByteBuffer.allocate(1)) shouldBe BodyBufferError.NO_ROOM
        other.shrink(GENERAL - LARGE_BODY - 1)
        buffer.append(ByteBuffer.allocate(1)) shouldBe null
    }

    test("`the budget follows the heap and the machine's memory, whichever is smaller`") {
        createBodyBudget(96 * MB).settings.totalBytes shouldBe (96 * MB * 0.3).toLong()
        createBodyBudget(96 * MB, 682).settings shouldBe createBodyBudget(96 * MB).settings
        createBodyBudget(96 * MB, 100).settings.totalBytes shouldBe 10 * MB
    }

    test("`a large response is expected after one was seen, and less so after many small ones`") {
        val sizes = ResponseSizes()
        val route = testRoute("r")
        val first = sizes.expectedBytes(route)
        sizes.record(route, LARGE_BODY.toInt())
        sizes.expectedBytes(route) shouldBe LARGE_BODY
        sizes.expectedBytes(testRoute("other")) shouldBe first
        repeat(1_000) { sizes.record(route, 0) }
        sizes.expectedBytes(route) shouldBeLessThanOrEqual first
        sizes.expectedBytes(route) shouldNotBe LARGE_BODY
    }
})
