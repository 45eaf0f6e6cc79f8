/*
 * Checks that involve several fields of a document: duplicate names, unknown references, and inconsistent caps, weights
 * and times.
 */
package org.cardamomwharf.document.check

import org.cardamomwharf.core.document.DrainProblem
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.core.document.findDrainProblems
import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind

/** Reports all problems of [document] to [problems]. */
public fun checkDocument(document: EnvironmentDocument, problems: ProblemCollector) {
    val check = DocumentCheck(document, problems)
    check.checkNames()
    check.checkRegions()
    check.checkLinks()
    check.checkServices()
    check.checkDrains()
    checkClientBlocks(document, problems)
    checkPolicy(document, problems)
}

private class DocumentCheck(private val document: EnvironmentDocument, private val problems: ProblemCollector) {
    private val zones = document.regions.flatMap { it.zones }.toSet()
    private val regions = document.regions.map { it.name }.toSet()

    fun checkNames() {
        problems.reportDuplicates("partners", "name", document.partners.map { it.name.value })
        problems.reportDuplicates("regions", "name", document.regions.map { it.name.value })
        problems.reportDuplicates("services", "name", document.services.map { it.name.value })
        val stopped = document.stoppedZones
        stopped.forEachIndexed { index, zone ->
            if (zone in stopped.take(index)) problems.reportDuplicate("stoppedZones[$index]", zone.value)
        }
        problems.reportEmpty("regions", document.regions)
        problems.reportEmpty("services", document.services)
    }

    fun checkRegions() {
        val partners = document.partners.map { it.name }.toSet()
        val seen = mutableSetOf<String>()
        document.regions.forEachIndexed { index, region ->
            val path = "regions[$index]"
            if (region.partner !in partners) problems.reportUnknown("$path.partner", "partner", region.partner.value)
            if (region.zones.isEmpty()) problems.reportImpossible("$path.zones", "a region needs an availability zone")
            region.zones.forEachIndexed { zoneIndex, zone ->
                if (!seen.add(zone.value)) problems.reportDuplicate("$path.zones[$zoneIndex]", zone.value)
            }
        }
    }

    fun checkLinks() {
        document.links.forEachIndexed { index, link ->
            if (link.from !in regions) problems.reportUnknown("links[$index].from", "region", link.from.value)
            if (link.to !in regions) problems.reportUnknown("links[$index].to", "region", link.to.value)
            if (link.from == link.to) problems.reportImpossible("links[$index].to", "a link must join two regions")
        }
        val directions = document.links.map { "${it.from.value} to ${it.to.value}" }
        problems.reportDuplicates("links", "from", directions)
        for (from in regions) {
            for (to in regions.filter { it != from && document.links.none { l -> l.from == from && l.to == it } }) {
                problems.report(ProblemKind.MISSING_KEY, "links", "no link from ${from.value} to ${to.value}")
            }
        }
    }

    fun checkServices() {
        document.services.forEachIndexed { index, service ->
            checkPools(service, "services[$index]")
            checkWeights(service, "services[$index]")
        }
    }

    private fun checkPools(service: Service, path: String) {
        if (service.pools.isEmpty()) problems.reportImpossible("$path.pools", "no zone serves ${service.name.value}")
        problems.reportDuplicates("$path.pools", "zone", service.pools.map { it.zone.value })
        service.pools.forEachIndexed { index, pool ->
            if (pool.zone !in zones) problems.reportUnknown("$path.pools[$index].zone", "zone", pool.zone.value)
            if (pool.connectionsPerUpstream < pool.slotsPerUpstream) {
                val connectionsPath = "$path.pools[$index].connectionsPerUpstream"
                problems.reportImpossible(connectionsPath, "must not be less than slotsPerUpstream")
            }
        }
    }

    private fun checkWeights(service: Service, path: String) {
        problems.reportDuplicates("$path.regionWeights", "region", service.regionWeights.map { it.region.value })
        val isEveryWeightZero = service.regionWeights.isNotEmpty() && service.regionWeights.all { it.weight == 0 }
        if (isEveryWeightZero) problems.reportImpossible("$path.regionWeights", "all weights are 0")
        service.regionWeights.forEachIndexed { index, weight ->
            if (weight.region !in regions) {
                problems.reportUnknown(
                    "$path.regionWeights[$index].region",
                    "region",
                    weight.region.value
                )
            }
        }
    }

    fun checkDrains() {
        document.findDrainProblems().forEach { problem ->
            val path = "drains[${problem.index}]"
            when (problem) {
                is DrainProblem.UnknownZone -> problems.reportUnknown("$path.zone", "zone", problem.zone.value)
                is DrainProblem.UnknownService ->
                    problems.reportUnknown("$path.service", "service", problem.service.value)
                is DrainProblem.EndsBeforeStart ->
                    problems.report(ProblemKind.IMPOSSIBLE, "$path.endsAtEpochSeconds", "must be after the start")
            }
        }
    }
}
