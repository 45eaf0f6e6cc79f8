/*
 * A measured figure, held against a stated target.
 */
package org.cardamomwharf.bench.paths

/**
 * Represents one figure with its bound.
 *
 * @param bound largest value allowed, from the stated targets; null when there is none.
 */
public data class Figure(public val name: String, public val value: Double, public val bound: Double?) {
    /** True when the figure is within its bound. */
    public val isFine: Boolean get() = bound == null || value <= bound

    override fun toString(): String {
        val verdict = if (bound == null) {
            ""
        } else if (isFine) {
            "  within %.2f".format(
                bound
            )
        } else {
            "  ABOVE %.2f".format(bound)
        }
        return "%-60s %12.2f".format(name, value) + verdict
    }
}
