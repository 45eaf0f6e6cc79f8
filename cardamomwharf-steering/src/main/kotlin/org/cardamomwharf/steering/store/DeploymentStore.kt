/*
 * The store of the platform as the product needs it. An adapter translates it; nothing here knows its protocol.
 */
package org.cardamomwharf.steering.store

import com.github.michaelbull.result.Result
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cardamomwharf.core.ZoneName
import org.cardamomwharf.steering.desired.DesiredState
import org.cardamomwharf.steering.instances.InstanceRecord
import org.cardamomwharf.steering.servers.ServerRecord

/** Represents one table of the store that can be read and followed. */
public interface StoreTable<T> {
    /** Reads the whole table as of one moment. */
    public fun read(): Result<TableUpdate<T>, StoreError>

    /** Waits until entries newer than [afterVersion] exist, at most [waitMs], and returns them. */
    public fun awaitChanges(afterVersion: Long, waitMs: Long): Result<TableUpdate<T>, StoreError>
}

/** Represents the store. */
public interface DeploymentStore {
    /** What the operators want. */
    public val orders: StoreTable<OperatorOrder>

    /** The backend servers that registered. */
    public val servers: StoreTable<ServerRecord>

    /** The instances of this system that registered. */
    public val instances: StoreTable<InstanceRecord>

    /** Registers an instance of this system. */
    public fun register(record: InstanceRecord): Result<Unit, StoreError>

    /** Removes an instance of this system. */
    public fun unregister(record: InstanceRecord): Result<Unit, StoreError>
}

/** Represents something that the operators want. */
@Serializable
public sealed interface OperatorOrder {
    /** A configuration is to be in force. */
    @Serializable
    @SerialName("org.cardamomwharf.steering.belief.OperatorOrder.Desired")
    public data class Desired(public val state: DesiredState) : OperatorOrder

    /** Backend servers of a zone are to get nothing. */
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

    /** The store no longer has the history that was asked for. */
    HISTORY_GONE("history-gone"),

    /** The answer can't be read. */
    UNREADABLE("unreadable"),
}
