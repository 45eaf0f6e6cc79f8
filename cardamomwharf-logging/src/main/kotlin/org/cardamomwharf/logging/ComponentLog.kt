/*
 * The log of one part of a process. Each line starts with the fixed prefix of the part.
 */
package org.cardamomwharf.logging

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger

/** Represents the log of the part named [prefix]. */
public class ComponentLog(private val prefix: String) {
    private val logger: Logger = LogManager.getLogger("cardamomwharf.$prefix")

    /** Writes a line about something expected. */
    public fun info(line: String) {
        logger.info("[{}] {}", prefix, line)
    }

    /** Writes a line about something that operators should look at. */
    public fun warn(line: String) {
        logger.warn("[{}] {}", prefix, line)
    }
}
