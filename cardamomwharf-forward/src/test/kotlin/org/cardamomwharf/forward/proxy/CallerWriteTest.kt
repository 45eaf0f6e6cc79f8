/*
 * The time limit of the write of a response.
 */
package org.cardamomwharf.forward.proxy

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.eclipse.jetty.io.ByteArrayEndPoint
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.component.AbstractLifeCycle
import org.eclipse.jetty.util.thread.Scheduler
import java.util.concurrent.TimeUnit

private const val TIMEOUT_MS = 5_000L

/** Holds the scheduled task, which has begun to run when it is cancelled. */
private class LateScheduler : AbstractLifeCycle(), Scheduler {
    lateinit var task: Runnable

    override fun schedule(task: Runnable, delay: Long, units: TimeUnit): Scheduler.Task {
        this.task = task
        return Scheduler.Task { false }
    }
}

class CallerWriteTest : FunSpec({
    // Guards against: the limit passes as the write ends, and closes the connection under the caller's next request.
    test("`a limit that passes while the write ends leaves the connection to the next request`") {
        val scheduler = LateScheduler()
        val endPoint = ByteArrayEndPoint()
        val write = CallerWrite(endPoint, Callback.NOOP) { }
        write.limitTime(scheduler, TIMEOUT_MS)
        write.succeeded()
        scheduler.task.run()
        endPoint.isOpen shouldBe true
    }

    test("`a write that takes too long closes the connection`") {
        val scheduler = LateScheduler()
        val endPoint = ByteArrayEndPoint()
        CallerWrite(endPoint, Callback.NOOP) { }.limitTime(scheduler, TIMEOUT_MS)
        scheduler.task.run()
        endPoint.isOpen shouldBe false
    }
})
