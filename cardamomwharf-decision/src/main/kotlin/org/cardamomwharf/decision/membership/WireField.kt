/*
 * CBOR field numbers of the membership messages. A number is never reused for another field of the same message.
 */
package org.cardamomwharf.decision.membership

internal object WireField {
    const val FIRST: Long = 1
    const val SECOND: Long = 2
    const val THIRD: Long = 3
    const val FOURTH: Long = 4
    const val FIFTH: Long = 5
    const val SIXTH: Long = 6
    const val SEVENTH: Long = 7
    const val EIGHTH: Long = 8
    const val NINTH: Long = 9
    const val TENTH: Long = 10
}
