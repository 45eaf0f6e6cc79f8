/*
 * The result of a benchmark and its upper bound.
 */
package org.cardamomwharf.bench.paths

/**
 * Represents a measured value and its upper bound.
 *
 * @param bound the largest value that the capacity targets allow, or null if there is no target.
 */
public data class BenchmarkResult(public val name: String, public val value: Double, public val bound: Double?) {
    /** Whether the value is within its bound; true if there is none. */
    public val isWithinBound: Boolean get() = bound == null || value <= bound

    override fun toString(): String {
        val verdict = if (bound == null) {
            ""
        } else if (isWithinBound) {
            "  within %.2f".format(
                bound
            )
        } else {
            "  ABOVE %.2f".format(bound)
        }
        return "%-60s %12.2f".format(name, value) + verdict
    }
}
