/*
 * Sizes of message heads on their way through the gateway. What may be accepted is limited, for callers by the
 * configuration; what is sent on is not: its buffer has the size that the head needs with all that is added to it.
 */
package org.cardamomwharf.forward

import org.eclipse.jetty.http.HttpFields

/** Maximum size of a request head, whatever the configuration says, in bytes; each connection holds one in memory. */
private const val MAX_CONFIGURED_HEAD_BYTES = 1_048_576

/** Size of the separators of a field and its line end. */
private const val FIELD_FRAMING_BYTES = 4

/** Size of a start line without method and target, of fields that the generator adds, and of the end, rounded up. */
private const val HEAD_FRAMING_BYTES = 256

/** Returns the limit of request heads to use when the configuration says [configuredBytes]. */
internal fun effectiveHeadBytes(configuredBytes: Int): Int = configuredBytes.coerceIn(1, MAX_CONFIGURED_HEAD_BYTES)

/** Returns the maximum size of a head with [fields]; one byte is written for each character. */
internal fun headBytesOf(fields: HttpFields): Int =
    HEAD_FRAMING_BYTES + fields.sumOf { it.name.length + it.value.orEmpty().length + FIELD_FRAMING_BYTES }
