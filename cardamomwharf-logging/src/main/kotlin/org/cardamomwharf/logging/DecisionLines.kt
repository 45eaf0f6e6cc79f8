/*
 * Sets logs up for processes whose log is read by programs: each message is a line of its own on standard output. A
 * bounded queue lies between the threads and the output; when it is full, lines are dropped and nobody waits.
 */
package org.cardamomwharf.logging

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory

/** Lines that wait for the output; a second of the largest allowed rate. */
private const val QUEUED_LINES = 512

/** Makes all later log lines go to standard output as they are, without ever blocking. */
public fun configureDecisionLines() {
    val builder = ConfigurationBuilderFactory.newConfigurationBuilder()
    builder.setShutdownHook("disable")
    val layout = builder.newLayout("PatternLayout").addAttribute("pattern", "%msg%n")
    builder.add(builder.newAppender("stdout", "Console").addAttribute("target", "SYSTEM_OUT").add(layout))
    builder.add(
        builder.newAppender("queue", "Async")
            .addAttribute("blocking", false)
            .addAttribute("bufferSize", QUEUED_LINES)
            .addComponent(builder.newAppenderRef("stdout")),
    )
    builder.add(builder.newRootLogger(Level.INFO).add(builder.newAppenderRef("queue")))
    builder.add(builder.newLogger("org.eclipse.jetty", Level.WARN))
    Configurator.reconfigure(builder.build())
}
