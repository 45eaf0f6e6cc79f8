/*
 * Checks what a single field can't show: names used twice, references to nothing, and caps, weights and times that
 * can't hold together.
 */
package org.cardamomwharf.document.check

import org.cardamomwharf.core.document.DrainProblem
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.core.document.findDrainProblems
import org.cardamomwharf.document.yaml.ProblemCollector
import org.cardamomwharf.document.yaml.ProblemKind

/** Reports every fault of [document] to [problems]. */
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
            if (zone in stopped.take(index)) problems.duplicate("stoppedZones[$index]", zone.value)
        }
        problems.reportEmpty("regions", document.regions)
        problems.reportEmpty("services", document.services)
    }

    fun checkRegions() {
        val partners = document.partners.map { it.name }.toSet()
        val seen = mutableSetOf<String>()
        document.regions.forEachIndexed { index, region ->
            val path = "regions[$index]"
            if (region.partner !in partners) problems.unknown("$path.partner", "partner", region.partner.value)
            if (region.zones.isEmpty()) problems.impossible("$path.zones", "a region needs an availability zone")
            region.zones.forEachIndexed { at, zone ->
                if (!seen.add(zone.value)) problems.duplicate("$path.zones[$at]", zone.value)
            }
        }
    }

    fun checkLinks() {
        document.links.forEachIndexed { index, link ->
            if (link.from !in regions) problems.unknown("links[$index].from", "region", link.from.value)
            if (link.to !in regions) problems.unknown("links[$index].to", "region", link.to.value)
            if (link.from == link.to) problems.impossible("links[$index].to", "a link joins two regions")
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
        if (service.pools.isEmpty()) problems.impossible("$path.pools", "no zone serves ${service.name.value}")
        problems.reportDuplicates("$path.pools", "zone", service.pools.map { it.zone.value })
        service.pools.forEachIndexed { index, pool ->
            if (pool.zone !in zones) problems.unknown("$path.pools[$index].zone", "zone", pool.zone.value)
            if (pool.connectionsPerUpstream < pool.slotsPerUpstream) {
                problems.impossible("$path.pools[$index].connectionsPerUpstream", "fewer connections than slots")
            }
        }
    }

    private fun checkWeights(service: Service, path: String) {
        problems.reportDuplicates("$path.regionWeights", "region", service.regionWeights.map { it.region.value })
        val isZero = service.regionWeights.isNotEmpty() && service.regionWeights.all { it.weight == 0 }
        if (isZero) problems.impossible("$path.regionWeights", "all weights are 0")
        service.regionWeights.forEachIndexed { index, weight ->
            if (weight.region !in regions) {
                problems.unknown(
                    "$path.regionWeights[$index].region",
                    "region",
                    weight.region.value
                )
            }
        }
    }

    fun checkDrains() {
        document.findDrainProblems().forEach { fault ->
            val path = "drains[${fault.index}]"
            when (fault) {
                is DrainProblem.UnknownZone -> problems.unknown("$path.zone", "zone", fault.zone.value)
                is DrainProblem.UnknownService -> problems.unknown("$path.service", "service", fault.service.value)
                is DrainProblem.EndsBeforeStart ->
                    problems.report(ProblemKind.IMPOSSIBLE, "$path.endsAtEpochSeconds", "must be after the start")
            }
        }
    }
}
