/*
 * The system property that enables the tests listed in KNOWN-RED.txt.
 */
package org.cardamomwharf.dist.support

/** Whether the tests listed in KNOWN-RED.txt are run. */
val isKnownRedEnabled: Boolean = System.getProperty("known.red") == "true"
