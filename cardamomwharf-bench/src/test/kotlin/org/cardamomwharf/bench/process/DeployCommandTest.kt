/*
 * The measured command is the one in the deploy file.
 */
package org.cardamomwharf.bench.process

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class DeployCommandTest : FunSpec({
    test("`the words of the command are taken from the line run`") {
        val text = "build = \"mvn package\"\n\n[roles.gateway]\nrun = \"java -Xmx96m -jar a.jar\"\non = \"front\"\n"
        commandOf(text) shouldBe listOf("java", "-Xmx96m", "-jar", "a.jar")
    }

    test("`a file without the line is refused`") {
        shouldThrow<IllegalStateException> { commandOf("build = \"mvn package\"") }
    }
})
