/*
 * Reads and validates an environment document in YAML. Returns either the document or all of its problems.
 */
package org.cardamomwharf.document

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import org.cardamomwharf.core.PartnerName
import org.cardamomwharf.core.RegionName
import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.core.document.ClientBlock
import org.cardamomwharf.core.document.Delays
import org.cardamomwharf.core.document.Drain
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.core.document.Link
import org.cardamomwharf.core.document.Objective
import org.cardamomwharf.core.document.Partner
import org.cardamomwharf.core.document.Region
import org.cardamomwharf.document.check.checkDocument
import org.cardamomwharf.document.yaml.Problem
import org.cardamomwharf.document.yaml.YamlFields
import org.cardamomwharf.document.yaml.enumValue
import org.cardamomwharf.document.yaml.readText
import org.cardamomwharf.document.yaml.readYaml
import org.cardamomwharf.document.yaml.section
import org.cardamomwharf.document.yaml.sections
import org.cardamomwharf.document.yaml.textList
import java.nio.file.Path

private const val MAX_DELAY_MS = 10_000.0
private const val MAX_BYTES_PER_SECOND = 100_000_000_000L
private const val MAX_REQUESTS_PER_SECOND = 100_000_000L

/** Returns the document in [file], or all of its problems. */
public fun readDocument(file: Path): Result<EnvironmentDocument, List<Problem>> =
    readText(file).flatMap(::parseDocument)

/** Returns the document in the YAML [text], or all of its problems. */
public fun parseDocument(text: String): Result<EnvironmentDocument, List<Problem>> =
    readYaml(text) { fields, problems ->
        val document = fields.readDocumentFields()
        checkDocument(document, problems)
        document
    }

private fun YamlFields.readDocumentFields(): EnvironmentDocument = EnvironmentDocument(
    deployment = text("deployment"),
    objective = enumValue("objective", Objective.entries),
    partners = sections("partners", isRequired = true) { it.readPartner() },
    regions = sections("regions", isRequired = true) { it.readRegion() },
    delays = section("delays", isRequired = true) { it.readDelays() } ?: Delays(0.0, 0.0, 0.0),
    links = sections("links", isRequired = true) { it.readLink() },
    services = sections("services", isRequired = true) { it.readService() },
    clientBlocks = sections("clientBlocks", isRequired = true) { it.readBlock() },
    drains = sections("drains", isRequired = false) { it.readDrain() },
    stoppedZones = textList("stoppedZones", isRequired = false).map(::ZoneName),
    policy = readPolicy(),
)

private fun YamlFields.readPartner() = Partner(
    name = PartnerName(text("name")),
    inboundRequestsPerSecond = integer("inboundRequestsPerSecond", 0..MAX_REQUESTS_PER_SECOND),
    inboundBytesPerSecond = integer("inboundBytesPerSecond", 0..MAX_BYTES_PER_SECOND),
)

private fun YamlFields.readRegion() = Region(
    name = RegionName(text("name")),
    partner = PartnerName(text("partner")),
    zones = textList("zones").map(::ZoneName),
)

private fun YamlFields.readDelays() = Delays(
    betweenZonesMs = decimal("betweenZonesMs", MAX_DELAY_MS),
    betweenRegionsMs = decimal("betweenRegionsMs", MAX_DELAY_MS),
    toClientsMs = decimal("toClientsMs", MAX_DELAY_MS),
)

private fun YamlFields.readLink() = Link(
    from = RegionName(text("from")),
    to = RegionName(text("to")),
    capBytesPerSecond = integer("capBytesPerSecond", 1..MAX_BYTES_PER_SECOND),
)

private fun YamlFields.readBlock() = ClientBlock(cidr = text("cidr"), zone = ZoneName(text("zone")))

private fun YamlFields.readDrain(): Drain {
    val service = text("service", default = "")
    return Drain(
        zone = ZoneName(text("zone")),
        service = if (service.isEmpty()) null else ServiceName(service),
        startsAtEpochSeconds = integer("startsAtEpochSeconds", 0..Long.MAX_VALUE, default = 0),
        endsAtEpochSeconds = integer("endsAtEpochSeconds", 0..Long.MAX_VALUE, default = 0),
    )
}
