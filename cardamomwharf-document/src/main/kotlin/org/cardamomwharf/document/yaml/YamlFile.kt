/*
 * Reads a YAML file. Returns either its value or all of its problems.
 */
package org.cardamomwharf.document.yaml

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Maximum size of a file; 440,000 client blocks take about a third of it. */
public const val MAX_YAML_CHARACTERS: Int = 67_108_864

private val yaml = Yaml(configuration = YamlConfiguration(codePointLimit = MAX_YAML_CHARACTERS))

/** Parses the YAML [text] and returns the result of [read], or all problems. */
public fun <T> readYaml(text: String, read: (YamlFields, ProblemCollector) -> T): Result<T, List<Problem>> =
    if (text.length > MAX_YAML_CHARACTERS) {
        val detail = "${text.length} characters; at most $MAX_YAML_CHARACTERS are allowed"
        Err(listOf(Problem(ProblemKind.OUT_OF_RANGE, SourcePosition.START, "", detail)))
    } else {
        parseYaml(text, read)
    }

private fun <T> parseYaml(text: String, read: (YamlFields, ProblemCollector) -> T): Result<T, List<Problem>> =
    try {
        readMapping(text, read)
    } catch (e: YamlException) {
        val detail = e.message.lineSequence().first()
        Err(listOf(Problem(ProblemKind.SYNTAX, SourcePosition(e.line, e.column), "", detail)))
    }

private fun <T> readMapping(text: String, read: (YamlFields, ProblemCollector) -> T): Result<T, List<Problem>> {
    val node = yaml.parseToYamlNode(text)
    if (node !is YamlMap) {
        return Err(listOf(Problem(ProblemKind.WRONG_TYPE, SourcePosition.START, "", "must be a mapping")))
    }
    val problems = ProblemCollector()
    val fields = YamlFields(node, "", problems)
    val value = read(fields, problems)
    fields.reportUnknown()
    return if (problems.inFileOrder.isEmpty()) Ok(value) else Err(problems.inFileOrder)
}

/** Returns the contents of [file], or a problem when it can't be read. */
public fun readText(file: Path): Result<String, List<Problem>> =
    try {
        Ok(Files.readString(file))
    } catch (e: IOException) {
        Err(listOf(Problem(ProblemKind.UNREADABLE, SourcePosition.START, "", e.javaClass.simpleName)))
    }
