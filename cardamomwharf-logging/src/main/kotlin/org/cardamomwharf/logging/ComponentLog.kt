/*
 * The log of a component of a process. Each line starts with the prefix of the component.
 */
package org.cardamomwharf.logging

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger

/** Represents the log of the component named [prefix]. */
public class ComponentLog(private val prefix: String) {
    private val logger: Logger = LogManager.getLogger("cardamomwharf.$prefix")

    /** Logs a line about an expected event. */
    public fun info(line: String) {
        logger.info("[{}] {}", prefix, line)
    }

    /** Logs a line about an event that operators should check. */
    public fun warn(line: String) {
        logger.warn("[{}] {}", prefix, line)
    }
}
