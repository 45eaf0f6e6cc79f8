/*
 * An SSL context factory for connectors without TLS. By default, Jetty's connectors load the trusted certificates of
 * the system even when TLS isn't used, which takes about a fifth of the startup time of a process.
 */
package org.cardamomwharf.http

import org.eclipse.jetty.util.ssl.SslContextFactory

/** Returns a factory that loads no certificates, for connectors that never use TLS. */
public fun emptySslContextFactory(): SslContextFactory.Client = object : SslContextFactory.Client() {
    override fun doStart() = Unit
}
