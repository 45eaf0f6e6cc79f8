/*
 * Why a process could not start.
 */
package org.cardamomwharf.gateway

import java.io.IOException

internal sealed interface StartError {
    /** An address is taken or isn't one of this machine's. */
    data class Listening(val cause: IOException) : StartError
}
