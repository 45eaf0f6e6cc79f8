/*
 * Identifiers as value classes, so that a zone can't be passed where a region is expected. They serialize as plain
 * strings or numbers.
 */
package org.cardamomwharf.core

import kotlinx.serialization.Serializable

/** Represents the name of a service, as written in the environment document. */
@Serializable
@JvmInline
public value class ServiceName(public val value: String)

/** Represents the name of a region. */
@Serializable
@JvmInline
public value class RegionName(public val value: String)

/** Represents the name of an availability zone. */
@Serializable
@JvmInline
public value class ZoneName(public val value: String)

/** Represents the name of a team, a customer whose callers authenticate with keys. */
@Serializable
@JvmInline
public value class TeamName(public val value: String)

/** Represents the name of a partner. */
@Serializable
@JvmInline
public value class PartnerName(public val value: String)

/** Represents the name of an entry instance; a restarted process keeps the name and gets a new [Incarnation]. */
@Serializable
@JvmInline
public value class InstanceName(public val value: String)

/** Represents the name of a backend server. */
@Serializable
@JvmInline
public value class ServerName(public val value: String)

/** Represents one run of an entry process; a later run of the same instance has a larger number. */
@Serializable
@JvmInline
public value class Incarnation(public val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)
}

/** Represents a request within one entry process. */
@Serializable
@JvmInline
public value class RequestId(public val value: Long)

/**
 * Represents one attempt of an operation, unique across all processes. When a response is lost, it tells whether the
 * attempt took effect.
 */
@Serializable
@JvmInline
public value class AttemptId(public val value: String)

/** Represents the version number of a document within its environment; a larger number is newer. */
@Serializable
@JvmInline
public value class DocumentVersion(public val value: Long) : Comparable<DocumentVersion> {
    override fun compareTo(other: DocumentVersion): Int = value.compareTo(other.value)

    public companion object {
        /** Represents the absence of a document. */
        public val NONE: DocumentVersion = DocumentVersion(0)
    }
}

/**
 * Represents the version of the cap division of an environment. Documents that divide the caps in the same way share an
 * epoch; every other document has the next epoch.
 */
@Serializable
@JvmInline
public value class CapEpoch(public val value: Long) : Comparable<CapEpoch> {
    /** Returns the epoch after this one. */
    public fun next(): CapEpoch = CapEpoch(value + 1)

    override fun compareTo(other: CapEpoch): Int = value.compareTo(other.value)

    public companion object {
        /** Represents the absence of a document. */
        public val NONE: CapEpoch = CapEpoch(0)

        /** Represents the cap division of the first document of an environment. */
        public val FIRST: CapEpoch = CapEpoch(1)
    }
}
