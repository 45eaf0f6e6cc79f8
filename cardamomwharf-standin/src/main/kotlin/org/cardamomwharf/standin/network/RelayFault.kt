/*
 * The faults that a relay can inject into its connections.
 */
package org.cardamomwharf.standin.network

/** Represents the fault that a relay injects. */
public enum class RelayFault {
    /** All bytes are forwarded. */
    NONE,

    /** No bytes are forwarded; all connections, also those opened during the fault, stay open and never recover. */
    BLACKHOLE,

    /** Bytes from the target are dropped; bytes to the target are forwarded. */
    RESPONSES_LOST,

    /** Bytes from the target are delayed. */
    DELAYED,

    /** Bytes from the target are forwarded twice. */
    DUPLICATING,

    /** Only the first half of the next chunk from the target is forwarded, then the connection is closed. */
    TRUNCATING,
}
