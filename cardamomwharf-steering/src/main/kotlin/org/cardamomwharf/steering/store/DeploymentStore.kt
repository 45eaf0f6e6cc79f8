/*
 * Interface to the store of the platform. An adapter implements it; nothing here depends on its protocol.
 */
package org.cardamomwharf.steering.store

import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.servers.ServerRecord

/** Represents a table of the store that can be read and watched. */
public interface StoreTable<T> {
    /** Reads a consistent snapshot of the whole table. */
    public fun read(): Result<TableUpdate<T>, StoreError>

    /**
     * Waits until entries newer than [afterVersion] exist, for at most [waitMs], and returns them. After a restore of
     * the store the result is [StoreError.HISTORY_GONE], even if the store has a version with the same number.
     */
    public fun awaitChanges(afterVersion: StoreVersion, waitMs: Long): Result<TableUpdate<T>, StoreError>
}

/** Represents the store. */
public interface DeploymentStore {
    /** The orders of the operators. */
    public val orders: StoreTable<OperatorOrder>

    /** The registered backend servers. */
    public val servers: StoreTable<ServerRecord>

    /** The registered instances of this system. */
    public val instances: StoreTable<InstanceRecord>

    /** Registers an instance. */
    public fun register(record: InstanceRecord): Result<Unit, StoreError>

    /** Removes the registration of an instance. */
    public fun unregister(record: InstanceRecord): Result<Unit, StoreError>
}

/** Represents an order of the operators. */
@Serializable
public sealed interface OperatorOrder {
    /** Activates a configuration. */
    @Serializable
    @SerialName("org.cardamomwharf.steering.belief.OperatorOrder.Desired")
    public data class Desired(public val state: DesiredState) : OperatorOrder

    /** Stops requests to the backend servers of a zone. */
    @Serializable
    @SerialName("org.cardamomwharf.steering.belief.OperatorOrder.Evacuation")
    public data class Evacuation(public val zone: ZoneName) : OperatorOrder
}

/** Represents why a call to the store failed. */
public enum class StoreError(public val code: String) {
    /** The store could not be reached. */
    UNREACHABLE("unreachable"),

    /** The store did not answer in time. */
    TIMEOUT("timeout"),

    /** The store refused the call and did nothing. */
    REFUSED("refused"),

    /** The store no longer has the requested history. */
    HISTORY_GONE("history-gone"),

    /** The response can't be read. */
    UNREADABLE("unreadable"),
}
