/*
 * The logging configuration of a process: plain lines for people or JSON lines for programs, both on standard error.
 */
package org.cardamomwharf.logging

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory

private const val PLAIN_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n"

/** Represents the format of log lines. */
public enum class LogFormat { PLAIN, JSON }

/** Configures logging to write lines in [format]. */
public fun configureLogs(format: LogFormat, level: Level = Level.INFO) {
    val builder = ConfigurationBuilderFactory.newConfigurationBuilder()
    val layout = when (format) {
        LogFormat.PLAIN -> builder.newLayout("PatternLayout").addAttribute("pattern", PLAIN_PATTERN)
        LogFormat.JSON ->
            builder.newLayout("JsonTemplateLayout").addAttribute("eventTemplateUri", "classpath:LogLine.json")
    }
    val appender = builder.newAppender("stderr", "Console").addAttribute("target", "SYSTEM_ERR").add(layout)
    builder.add(appender)
    builder.add(builder.newRootLogger(level).add(builder.newAppenderRef("stderr")))
    builder.add(builder.newLogger("org.eclipse.jetty", Level.WARN))
    Configurator.reconfigure(builder.build())
}
