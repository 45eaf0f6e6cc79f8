/*
 * Jetty's connectors load the system's trusted certificates when they start, whether TLS is used or not. That takes
 * about a fifth of the start of a process.
 */
package org.cardamomwharf.http

import org.eclipse.jetty.util.ssl.SslContextFactory

/** Returns a factory that loads nothing, for connectors that never use TLS. */
public fun emptySslContextFactory(): SslContextFactory.Client = object : SslContextFactory.Client() {
    override fun doStart() = Unit
}
