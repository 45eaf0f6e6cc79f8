/*
 * The logging configuration of processes whose log is read by programs: each message is one line on standard output. A
 * bounded queue decouples the threads from the output; when it is full, lines are dropped instead of blocking.
 *
 * It replaces log4j-core with its own Log4j provider. The plugin scan of log4j-core takes a third of the processor time
 * of a process start, and each level check of a library takes several calls there.
 */
package org.cardamomwharf.logging

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.Marker
import org.apache.logging.log4j.message.Message
import org.apache.logging.log4j.message.MessageFactory
import org.apache.logging.log4j.message.ParameterizedNoReferenceMessageFactory
import org.apache.logging.log4j.simple.SimpleLogger
import org.apache.logging.log4j.spi.ExtendedLogger
import org.apache.logging.log4j.spi.LoggerContext
import org.apache.logging.log4j.spi.LoggerContextFactory
import org.apache.logging.log4j.spi.Provider
import org.apache.logging.log4j.util.PropertiesUtil
import java.net.URI
import java.util.Properties
import java.util.concurrent.ConcurrentHashMap

/** The system property with the class name of the Log4j provider. */
private const val PROVIDER_PROPERTY = "log4j.provider"

/** The version of Log4j's provider interface. */
private const val PROVIDER_VERSION = "2.6.0"
private const val PROVIDER_PRIORITY = 20
private const val JETTY_LOGGER_PREFIX = "org.eclipse.jetty"

/** Maximum time for which the shutdown waits for queued lines. */
private const val SHUTDOWN_FLUSH_TIMEOUT_MS = 500L

/** Configures logging to write messages to standard output as they are, without blocking the logging threads. */
public fun configureDecisionLog() {
    System.setProperty(PROVIDER_PROPERTY, DecisionLogProvider::class.java.name)
}

/** Provides the implementation to Log4j, which creates this class by its name. */
public class DecisionLogProvider :
    Provider(PROVIDER_PRIORITY, PROVIDER_VERSION, DecisionLogContextFactory::class.java)

/** Returns the single logger context of the process. */
public class DecisionLogContextFactory : LoggerContextFactory {
    private val writer = startLogLineWriter(System.out)
    private val context = DecisionLogContext(writer)

    override fun getContext(
        fqcn: String?,
        loader: ClassLoader?,
        externalContext: Any?,
        currentContext: Boolean,
    ): LoggerContext = context

    override fun getContext(
        fqcn: String?,
        loader: ClassLoader?,
        externalContext: Any?,
        currentContext: Boolean,
        configLocation: URI?,
        name: String?,
    ): LoggerContext = context

    /** Waits until the queued lines have been written. */
    override fun shutdown(fqcn: String?, loader: ClassLoader?, currentContext: Boolean, allContexts: Boolean) {
        writer.flush(SHUTDOWN_FLUSH_TIMEOUT_MS)
    }

    override fun removeContext(context: LoggerContext): Unit = Unit

    override fun isClassLoaderDependent(): Boolean = false
}

/** Represents the loggers by name. */
internal class DecisionLogContext(private val writer: LogLineWriter) : LoggerContext {
    private val loggers = ConcurrentHashMap<String, ExtendedLogger>()

    override fun getExternalContext(): Any? = null

    override fun getLogger(name: String): ExtendedLogger =
        loggers.computeIfAbsent(name) { DecisionLogger(it, writer) }

    override fun getLogger(name: String, messageFactory: MessageFactory?): ExtendedLogger = getLogger(name)

    override fun hasLogger(name: String): Boolean = loggers.containsKey(name)

    override fun hasLogger(name: String, messageFactory: MessageFactory?): Boolean = hasLogger(name)

    override fun hasLogger(name: String, messageFactoryClass: Class<out MessageFactory>?): Boolean = hasLogger(name)
}

/** Passes formatted messages to the writer; loggers of Jetty skip levels below WARN. */
private class DecisionLogger(name: String, private val writer: LogLineWriter) : SimpleLogger(
    name,
    if (name.startsWith(JETTY_LOGGER_PREFIX)) Level.WARN else Level.INFO,
    false,
    false,
    false,
    false,
    null,
    ParameterizedNoReferenceMessageFactory.INSTANCE,
    PropertiesUtil(Properties()),
    System.out,
) {
    override fun logMessage(
        fqcn: String?,
        level: Level?,
        marker: Marker?,
        message: Message,
        throwable: Throwable?,
    ) {
        val cause = throwable ?: message.throwable
        writer.offer(if (cause == null) message.formattedMessage else "${message.formattedMessage}: $cause")
    }
}
