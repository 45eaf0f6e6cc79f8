/*
 * Tests that the measured command is read from the deploy file.
 */
package org.cardamomwharf.bench.process

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class DeployCommandTest : FunSpec({
    test("`the command is read from the run line of the deploy file`") {
        val text = "build = \"mvn package\"\n\n[roles.gateway]\nrun = \"java -Xmx96m -jar a.jar\"\non = \"front\"\n"
        readCommand(text) shouldBe listOf("java", "-Xmx96m", "-jar", "a.jar")
    }

    test("`a deploy file without a run line is rejected`") {
        shouldThrow<IllegalStateException> { readCommand("build = \"mvn package\"") }
    }
})
