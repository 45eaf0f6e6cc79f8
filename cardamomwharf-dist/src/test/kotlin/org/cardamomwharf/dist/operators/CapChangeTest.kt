/*
 * Tests that each change of the caps starts a new epoch, that only one of several concurrent changes succeeds, and that
 * a zone can't be removed before its instances are stopped.
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

private val removedZone = ZoneName("pomorze-b")

private fun Deployment.accept(document: EnvironmentDocument, expected: Long): Result<Report, CommandError> {
    environments.submit(document, null, createAction()).getOrThrow { IllegalStateException(it.text) }
    val trialVersion = requireNotNull(heads(EnvironmentName.TRIAL).get()).newest.version
    return environments.promote(trialVersion, DocumentVersion(expected), createAction())
}

private fun Deployment.newest(): HeadEntry = requireNotNull(heads(EnvironmentName.PRODUCTION).get()).newest

private fun EnvironmentDocument.withLinkCap(capBytesPerSecond: Long): EnvironmentDocument =
    copy(links = links.map { it.copy(capBytesPerSecond = capBytesPerSecond) })

private fun EnvironmentDocument.without(zone: ZoneName): EnvironmentDocument = copy(
    regions = regions.map { it.copy(zones = it.zones - zone) },
    services = services.map { service -> service.copy(pools = service.pools.filter { it.zone != zone }) },
)

class CapChangeTest : FunSpec({
    test("`a change of the caps starts a new epoch and any other change keeps the epoch`") {
        Deployment().use { deployment ->
            deployment.startPlatform()
            val first = deployment.document()
            deployment.accept(first, expected = 0).isOk shouldBe true
            deployment.newest().capEpoch.value shouldBe 1
            deployment.accept(first.copy(drains = listOf(Drain(removedZone))), expected = 1).isOk shouldBe true
            deployment.newest().capEpoch.value shouldBe 1
            deployment.accept(first.withLinkCap(1_000_000), expected = 2).isOk shouldBe true
            deployment.newest().capEpoch.value shouldBe 2
        }
    }

    test("`of concurrent changes of the caps one succeeds and the others return a conflict`") {
        Deployment().use { deployment ->
            deployment.startPlatform()
            val first = deployment.document()
            deployment.accept(first, expected = 0)
            val caps = listOf(1_000_000L, 2_000_000L, 3_000_000L, 4_000_000L)
            val trialVersions = caps.map { cap ->
                deployment.environments.submit(first.withLinkCap(cap), null, deployment.createAction())
                requireNotNull(deployment.heads(EnvironmentName.TRIAL).get()).newest.version
            }
            val actions = trialVersions.map { deployment.createAction() }
            val promotions = trialVersions.indices.map { index ->
                CompletableFuture.supplyAsync {
                    deployment.environments.promote(trialVersions[index], DocumentVersion(1), actions[index])
                }
            }
            val results = promotions.map { it.get() }
            results.count { it.isOk } shouldBe 1
            results.mapNotNull { it.getError() }.all { it is CommandError.Conflict } shouldBe true
            val late = deployment.environments
                .promote(trialVersions.first(), DocumentVersion(1), deployment.createAction())
            (late.getError() is CommandError.Conflict) shouldBe true
            deployment.newest().version shouldBe DocumentVersion(2)
            deployment.newest().capEpoch.value shouldBe 2
        }
    }

    test("`a zone can't be removed before its instances are declared stopped`") {
        Deployment().use { deployment ->
            deployment.startPlatform()
            val first = deployment.document()
            deployment.accept(first, expected = 0)
            val smaller = first.without(removedZone)
            deployment.accept(smaller, expected = 1).getError() shouldBe
                CommandError.ZonesNotStopped(listOf(removedZone.value))
            deployment.newest().version shouldBe DocumentVersion(1)
            deployment.accept(smaller.copy(stoppedZones = listOf(removedZone)), expected = 1).isOk shouldBe true
        }
    }
})
