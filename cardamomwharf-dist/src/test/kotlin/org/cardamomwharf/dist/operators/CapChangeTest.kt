/*
 * Operators change caps and zones: each change of the caps gets its epoch, racing operators get one winner, and no zone
 * is left out before its instances were stopped.
 */
package org.cardamomwharf.dist.operators

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.cli.CommandError
import org.cardamomwharf.cli.Report
import org.cardamomwharf.core.DocumentVersion
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.Drain
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.dist.support.Deployment
import org.cardamomwharf.repository.EnvironmentName
import org.cardamomwharf.repository.HeadEntry
import java.util.concurrent.CompletableFuture

private val droppedZone = ZoneName("pomorze-b")

private fun Deployment.accept(document: EnvironmentDocument, expected: Long): Result<Report, CommandError> {
    environments.submit(document, null, act()).getOrThrow { IllegalStateException(it.text) }
    val tried = requireNotNull(heads(EnvironmentName.TRIAL).get()).newest.version
    return environments.promote(tried, DocumentVersion(expected), act())
}

private fun Deployment.newest(): HeadEntry = requireNotNull(heads(EnvironmentName.PRODUCTION).get()).newest

private fun EnvironmentDocument.withLinkCap(capBytesPerSecond: Long): EnvironmentDocument =
    copy(links = links.map { it.copy(capBytesPerSecond = capBytesPerSecond) })

private fun EnvironmentDocument.without(zone: ZoneName): EnvironmentDocument = copy(
    regions = regions.map { it.copy(zones = it.zones - zone) },
    services = services.map { service -> service.copy(pools = service.pools.filter { it.zone != zone }) },
)

class CapChangeTest : FunSpec({
    test("`a change of the caps begins an epoch and any other change keeps it`") {
        Deployment().use { deployment ->
            deployment.startPlatform()
            val first = deployment.document()
            deployment.accept(first, expected = 0).isOk shouldBe true
            deployment.newest().capEpoch.value shouldBe 1
            deployment.accept(first.copy(drains = listOf(Drain(droppedZone))), expected = 1).isOk shouldBe true
            deployment.newest().capEpoch.value shouldBe 1
            deployment.accept(first.withLinkCap(1_000_000), expected = 2).isOk shouldBe true
            deployment.newest().capEpoch.value shouldBe 2
        }
    }

    test("`of operators that change the caps at once one wins and the others are told so`") {
        Deployment().use { deployment ->
            deployment.startPlatform()
            val first = deployment.document()
            deployment.accept(first, expected = 0)
            val caps = listOf(1_000_000L, 2_000_000L, 3_000_000L, 4_000_000L)
            val tried = caps.map { cap ->
                deployment.environments.submit(first.withLinkCap(cap), null, deployment.act())
                requireNotNull(deployment.heads(EnvironmentName.TRIAL).get()).newest.version
            }
            val acts = tried.map { deployment.act() }
            val racing = tried.indices.map { index ->
                CompletableFuture.supplyAsync {
                    deployment.environments.promote(tried[index], DocumentVersion(1), acts[index])
                }
            }
            val ends = racing.map { it.get() }
            ends.count { it.isOk } shouldBe 1
            ends.mapNotNull { it.getError() }.all { it is CommandError.Conflict } shouldBe true
            val late = deployment.environments.promote(tried.first(), DocumentVersion(1), deployment.act())
            (late.getError() is CommandError.Conflict) shouldBe true
            deployment.newest().version shouldBe DocumentVersion(2)
            deployment.newest().capEpoch.value shouldBe 2
        }
    }

    test("`a zone isn't left out before its instances are said to be stopped`") {
        Deployment().use { deployment ->
            deployment.startPlatform()
            val first = deployment.document()
            deployment.accept(first, expected = 0)
            val smaller = first.without(droppedZone)
            deployment.accept(smaller, expected = 1).getError() shouldBe
                CommandError.ZonesNotStopped(listOf(droppedZone.value))
            deployment.newest().version shouldBe DocumentVersion(1)
            deployment.accept(smaller.copy(stoppedZones = listOf(droppedZone)), expected = 1).isOk shouldBe true
        }
    }
})
