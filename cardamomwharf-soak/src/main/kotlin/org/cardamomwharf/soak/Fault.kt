/*
 * The faults and planned changes of a soak run. A target is taken modulo the number of instances or servers.
 */
package org.cardamomwharf.soak

/** Represents a fault or a planned change. */
sealed interface Fault {
    /** A fault of an instance or of its connections to the store. */
    sealed interface InstanceFault : Fault

    /** A fault or a planned change of a backend server. */
    sealed interface ServerFault : Fault {
        /** Index into the registered servers. */
        val target: Int
    }

    /** A fault of the store, or a change that operators write to it. */
    sealed interface StoreFault : Fault

    /** Kills the process of an instance and restarts it. */
    data class Kill(val target: Int) : InstanceFault

    /**
     * Stops the process of an instance gracefully and restarts it once it has exited.
     *
     * @param steps what the process gets for a stop, in order.
     * @param restarts after which time since each start the process is stopped again.
     */
    data class Stop(
        val target: Int,
        val steps: List<StopStep> = listOf(StopStep(0, StopAction.TERMINATE)),
        val restarts: List<RestartAge> = emptyList(),
    ) : InstanceFault

    /** Makes an instance read its settings again with SIGHUP; [isChanged] when the file has changed. */
    data class Reload(val target: Int, val isChanged: Boolean) : InstanceFault

    /** Pauses the process of an instance. */
    data class Pause(val target: Int, val durationMs: Long) : InstanceFault

    /** Kills all instances at the same time and restarts them. */
    data object KillAll : InstanceFault

    /** Injects a fault into the connections between an instance and the store. */
    data class StoreConnection(
        val target: Int,
        val connectionFault: ConnectionFault,
        val durationMs: Long,
    ) : InstanceFault

    /** Injects a fault into the connections between all instances and a backend server. */
    data class ServerConnection(
        override val target: Int,
        val connectionFault: ConnectionFault,
        val durationMs: Long,
    ) : ServerFault

    /** Makes the store refuse requests, respond slowly or lose responses. */
    data class StoreFailure(val kind: StoreFailureKind, val durationMs: Long) : StoreFault

    /** Drops the history of the store. */
    data object DropHistory : StoreFault

    /** Announces that a backend server is leaving, stops it later and starts another in its place or at its address. */
    data class Leave(override val target: Int, val isAddressReused: Boolean) : ServerFault

    /** Stops a backend server without notice and restarts it under the same name. */
    data class Restart(override val target: Int, val durationMs: Long) : ServerFault

    /** Makes a backend server run requests without responding. */
    data class LoseResponses(override val target: Int, val durationMs: Long) : ServerFault

    /** Activates a new configuration. */
    data object Reconfigure : StoreFault

    /** Evacuates a zone temporarily. */
    data class Evacuate(val target: Int, val durationMs: Long) : StoreFault
}

/** Represents an action of a planned stop: SIGTERM, SIGHUP, or a new configuration. */
enum class StopAction { TERMINATE, HANG_UP, RECONFIGURE }

/** Represents an action of a planned stop and its delay after the one before. */
data class StopStep(val delayMs: Long, val action: StopAction)

/** Represents a time after the start of a process, or after it accepts connections if [isAfterOpening]. */
data class RestartAge(val isAfterOpening: Boolean, val ageMs: Long)

/** Represents a fault of the connections through a relay. */
enum class ConnectionFault { SILENT, RESPONSES_LOST, TRUNCATED, DUPLICATED, RESET, DELAYED }

/** Represents a failure mode of the store. */
enum class StoreFailureKind { REFUSING, SLOW, LOSING }

/** Represents a fault and its start time in the run. */
data class PlannedFault(val atMs: Long, val fault: Fault)
