/*
 * Errors that prevent a gateway process from starting.
 */
package org.cardamomwharf.gateway

import java.io.IOException

internal sealed interface StartError {
    /** An address is in use or doesn't belong to this machine. */
    data class BindFailed(val cause: IOException) : StartError
}
