/*
 * How requests get from clients to backend servers: through our decisions, or by one of the baselines.
 */
package org.cardamomwharf.bench.policy

import org.cardamomwharf.core.ServiceName
import org.cardamomwharf.core.ZoneName

/** Represents a request of a client. */
public class PolicyRequest(
    public val number: Long,
    public val service: ServiceName,
    public val isIdempotent: Boolean,
    public val zone: ZoneName,
    public val client: String,
    public val deadlineMs: Long,
)

/** Represents how a request ended for its client. */
public enum class PolicyEnd { RAN, NOT_RUN, UNKNOWN }

/** Represents a way of routing. */
public interface Router {
    /** The name in reports. */
    public val name: String

    /** Makes everything ready at the start of a run. */
    public fun start() {
        return
    }

    /** Learns of the document that the world has now. */
    public fun adopt() {
        return
    }

    /** Routes [request]; [onEnd] is told the end when the client knows it. */
    public fun route(request: PolicyRequest, onEnd: (PolicyEnd, String) -> Unit)
}
