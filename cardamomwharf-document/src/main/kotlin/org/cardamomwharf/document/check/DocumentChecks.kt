/*
 * Checks what a single field can't show: names used twice, references to nothing, and caps, weights and times that
 * can't hold together.
 */
package org.cardamomwharf.document.check

import org.cardamomwharf.core.document.DrainFault
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Service
import org.cardamomwharf.core.document.findDrainFaults
import org.cardamomwharf.document.yaml.ProblemKind
import org.cardamomwharf.document.yaml.YamlFindings

/** Reports every fault of [document] to [findings]. */
public fun checkDocument(document: EnvironmentDocument, findings: YamlFindings) {
    val check = DocumentCheck(document, findings)
    check.checkNames()
    check.checkRegions()
    check.checkLinks()
    check.checkServices()
    check.checkDrains()
    checkClientBlocks(document, findings)
    checkPolicy(document, findings)
}

private class DocumentCheck(private val document: EnvironmentDocument, private val findings: YamlFindings) {
    private val zones = document.regions.flatMap { it.zones }.toSet()
    private val regions = document.regions.map { it.name }.toSet()

    fun checkNames() {
        findings.reportDuplicates("partners", "name", document.partners.map { it.name.value })
        findings.reportDuplicates("regions", "name", document.regions.map { it.name.value })
        findings.reportDuplicates("services", "name", document.services.map { it.name.value })
        val stopped = document.stoppedZones
        stopped.forEachIndexed { index, zone ->
            if (zone in stopped.take(index)) findings.duplicate("stoppedZones[$index]", zone.value)
        }
        findings.reportEmpty("regions", document.regions)
        findings.reportEmpty("services", document.services)
    }

    fun checkRegions() {
        val partners = document.partners.map { it.name }.toSet()
        val seen = mutableSetOf<String>()
        document.regions.forEachIndexed { index, region ->
            val path = "regions[$index]"
            if (region.partner !in partners) findings.unknown("$path.partner", "partner", region.partner.value)
            if (region.zones.isEmpty()) findings.impossible("$path.zones", "a region needs an availability zone")
            region.zones.forEachIndexed { at, zone ->
                if (!seen.add(zone.value)) findings.duplicate("$path.zones[$at]", zone.value)
            }
        }
    }

    fun checkLinks() {
        document.links.forEachIndexed { index, link ->
            if (link.from !in regions) findings.unknown("links[$index].from", "region", link.from.value)
            if (link.to !in regions) findings.unknown("links[$index].to", "region", link.to.value)
            if (link.from == link.to) findings.impossible("links[$index].to", "a link joins two regions")
        }
        val directions = document.links.map { "${it.from.value} to ${it.to.value}" }
        findings.reportDuplicates("links", "from", directions)
        for (from in regions) {
            for (to in regions.filter { it != from && document.links.none { l -> l.from == from && l.to == it } }) {
                findings.report(ProblemKind.MISSING_KEY, "links", "no link from ${from.value} to ${to.value}")
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
        if (service.pools.isEmpty()) findings.impossible("$path.pools", "no zone serves ${service.name.value}")
        findings.reportDuplicates("$path.pools", "zone", service.pools.map { it.zone.value })
        service.pools.forEachIndexed { index, pool ->
            if (pool.zone !in zones) findings.unknown("$path.pools[$index].zone", "zone", pool.zone.value)
            if (pool.connectionsPerUpstream < pool.slotsPerUpstream) {
                findings.impossible("$path.pools[$index].connectionsPerUpstream", "fewer connections than slots")
            }
        }
    }

    private fun checkWeights(service: Service, path: String) {
        findings.reportDuplicates("$path.regionWeights", "region", service.regionWeights.map { it.region.value })
        val isZero = service.regionWeights.isNotEmpty() && service.regionWeights.all { it.weight == 0 }
        if (isZero) findings.impossible("$path.regionWeights", "all weights are 0")
        service.regionWeights.forEachIndexed { index, weight ->
            if (weight.region !in regions) {
                findings.unknown(
                    "$path.regionWeights[$index].region",
                    "region",
                    weight.region.value
                )
            }
        }
    }

    fun checkDrains() {
        document.findDrainFaults().forEach { fault ->
            val path = "drains[${fault.index}]"
            when (fault) {
                is DrainFault.UnknownZone -> findings.unknown("$path.zone", "zone", fault.zone.value)
                is DrainFault.UnknownService -> findings.unknown("$path.service", "service", fault.service.value)
                is DrainFault.EndsBeforeStart ->
                    findings.report(ProblemKind.IMPOSSIBLE, "$path.endsAtEpochSeconds", "must be after the start")
            }
        }
    }
}
