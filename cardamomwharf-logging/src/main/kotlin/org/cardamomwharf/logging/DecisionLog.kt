/*
 * Sets logs up for processes whose log is read by programs: each message is a line of its own on standard output. A
 * bounded queue lies between the threads and the output; when it is full, lines are dropped and nobody waits.
 *
 * The back end of Log4j is our own: that of log4j-core takes a third of the processor time of a start, because it looks
 * for plugins, and every test of a level in a library costs several calls there.
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

/** Log4j's system property that names the class of the back end. */
private const val PROVIDER_PROPERTY = "log4j.provider"

/** Version of Log4j's interface to back ends. */
private const val PROVIDER_VERSION = "2.6.0"
private const val PROVIDER_PRIORITY = 20
private const val LIBRARY_PREFIX = "org.eclipse.jetty"

/** Time for which the end of the process waits for lines that are still queued. */
private const val LAST_LINES_MS = 500L

/** Makes all later log lines go to standard output as they are, without ever blocking. */
public fun configureDecisionLog() {
    System.setProperty(PROVIDER_PROPERTY, DecisionLogProvider::class.java.name)
}

/** Gives Log4j the back end; Log4j makes it by its name. */
public class DecisionLogProvider :
    Provider(PROVIDER_PRIORITY, PROVIDER_VERSION, DecisionLogContextFactory::class.java)

/** Gives Log4j the only context of the process. */
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

    /** Waits until the lines that are queued have been written. */
    override fun shutdown(fqcn: String?, loader: ClassLoader?, currentContext: Boolean, allContexts: Boolean) {
        writer.flush(LAST_LINES_MS)
    }

    override fun removeContext(context: LoggerContext): Unit = Unit

    override fun isClassLoaderDependent(): Boolean = false
}

/** Holds the loggers by name. */
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

/** Hands formatted messages to the writer. */
private class DecisionLogger(name: String, private val writer: LogLineWriter) : SimpleLogger(
    name,
    if (name.startsWith(LIBRARY_PREFIX)) Level.WARN else Level.INFO,
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
