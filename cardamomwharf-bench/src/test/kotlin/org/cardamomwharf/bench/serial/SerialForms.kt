/*
 * Samples and names of serializable types, made from their descriptors alone, so that no field is forgotten. Renamed
 * classes and properties change nothing here as long as what is written out stays the same.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.cardamomwharf.bench.serial

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.BinaryFormat
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialFormat
import kotlinx.serialization.StringFormat
import kotlinx.serialization.decodeFromHexString
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.encodeToHexString
import kotlinx.serialization.encoding.AbstractDecoder
import kotlinx.serialization.encoding.CompositeDecoder
import kotlinx.serialization.modules.EmptySerializersModule
import kotlinx.serialization.modules.SerializersModule
import java.nio.file.Files
import java.nio.file.Path

private val folder = Path.of("src/test/resources/golden")
private val isUpdate = System.getProperty("serial.update") == "true"

/** Compares [lines] with the recorded file [name]; it is written anew only with -Dserial.update=true. */
internal fun compareWithRecorded(name: String, lines: List<String>): List<String> {
    val file = folder.resolve(name)
    if (isUpdate) Files.write(Files.createDirectories(folder).resolve(name), lines)
    return Files.readAllLines(file).also { lines.joinToString("\n") shouldBe it.joinToString("\n") }
}

/**
 * Returns a line for each class, enum and sealed type below this one: where it stands, and the names of its elements
 * that are written out. A question mark follows an element that may be left out.
 */
internal fun SerialDescriptor.listElements(path: String, seen: MutableSet<String> = HashSet()): List<String> = when {
    kind == StructureKind.LIST || kind == StructureKind.MAP ->
        (0 until elementsCount).flatMap { getElementDescriptor(it).listElements(path, seen) }
    elementsCount == 0 || isInline || !seen.add(serialName.removeSuffix("?")) -> emptyList()
    kind == PolymorphicKind.SEALED ->
        listOf("$path: " + subtypes().joinToString { it.serialName }) +
            subtypes().flatMap { it.listElements(it.serialName, seen) }
    else ->
        listOf("$path: " + (0 until elementsCount).joinToString(transform = ::markElement)) +
            (0 until elementsCount).filter { kind != SerialKind.ENUM }.flatMap {
                getElementDescriptor(it).listElements("$path.${getElementName(it)}", seen)
            }
}

private fun SerialDescriptor.markElement(index: Int): String =
    getElementName(index) + if (isElementOptional(index)) "?" else ""

/** Adds tests of the element names and of samples of the type as recorded under [name]. */
internal fun <T> FunSpec.checkForms(name: String, serializer: KSerializer<T>, format: SerialFormat) {
    test("`the element names of $name are those that were recorded`") {
        compareWithRecorded("$name.elements.txt", serializer.descriptor.listElements(name))
    }

    test("`samples of $name are written and read as recorded`") {
        val written = serializer.samples().map { format.write(serializer, it) }
        for (line in compareWithRecorded("$name.samples.txt", written)) {
            format.write(serializer, format.read(serializer, line)) shouldBe line
        }
    }
}

private fun <T> SerialFormat.write(serializer: KSerializer<T>, value: T): String =
    when (this) {
        is BinaryFormat -> encodeToHexString(serializer, value)
        else -> (this as StringFormat).encodeToString(serializer, value)
    }

private fun <T> SerialFormat.read(serializer: KSerializer<T>, text: String): T =
    when (this) {
        is BinaryFormat -> decodeFromHexString(serializer, text)
        else -> (this as StringFormat).decodeFromString(serializer, text)
    }

/** Returns samples of the type: one for each of its subtypes, and of the enums and sealed types within. */
internal fun <T> KSerializer<T>.samples(): List<T> {
    val subtypes = if (descriptor.kind == PolymorphicKind.SEALED) descriptor.subtypes() else listOf(descriptor)
    return subtypes.indices.flatMap { index ->
        (0 until subtypes[index].countVariants()).map { deserialize(SampleDecoder(SampleChoice(it), index)) }
    }
}

private fun SerialDescriptor.subtypes(): List<SerialDescriptor> =
    getElementDescriptor(1).let { types -> (0 until types.elementsCount).map(types::getElementDescriptor) }
        .sortedBy { it.serialName }

private fun SerialDescriptor.countVariants(): Int = when (kind) {
    SerialKind.ENUM -> elementsCount
    PolymorphicKind.SEALED -> maxOf(subtypes().size, subtypes().maxOf { it.countVariants() })
    else -> (0 until elementsCount).maxOfOrNull { getElementDescriptor(it).countVariants() }?.coerceAtLeast(2) ?: 1
}

private class SampleChoice(val variant: Int, var last: Int = 0)

private class SampleDecoder(
    private val choice: SampleChoice,
    private val rootSubtype: Int?,
    private var subtypeName: String? = null,
) : AbstractDecoder() {
    private var index = 0

    override val serializersModule: SerializersModule = EmptySerializersModule()

    override fun beginStructure(descriptor: SerialDescriptor): CompositeDecoder {
        if (descriptor.kind != PolymorphicKind.SEALED) return SampleDecoder(choice, null)
        val names = descriptor.subtypes().map { it.serialName }
        return SampleDecoder(choice, null, names[rootSubtype ?: (choice.variant % names.size)])
    }

    override fun decodeElementIndex(descriptor: SerialDescriptor): Int {
        val count = if (descriptor.kind == StructureKind.LIST) 1 else descriptor.elementsCount
        return if (index < count) index++ else CompositeDecoder.DECODE_DONE
    }

    override fun decodeNotNullMark(): Boolean = true

    override fun decodeBoolean(): Boolean = choice.variant % 2 == 0

    override fun decodeByte(): Byte = next().toByte()

    override fun decodeInt(): Int = next()

    override fun decodeLong(): Long = next().toLong()

    override fun decodeDouble(): Double = next() + 0.5

    override fun decodeString(): String = subtypeName?.also { subtypeName = null } ?: "text-${next()}"

    override fun decodeEnum(enumDescriptor: SerialDescriptor): Int = choice.variant % enumDescriptor.elementsCount

    private fun next(): Int = ++choice.last
}
