/*
 * Guards the bytes between entry instances against renames in the code.
 */
package org.cardamomwharf.peer.serial

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.cardamomwharf.peer.PeerMessage
import org.cardamomwharf.peer.decodeMessage
import org.cardamomwharf.peer.encodeMessage
import java.util.HexFormat

private val hex = HexFormat.of()

class SerialFormsTest : FunSpec({
    test("`the element names of messages are those that were recorded`") {
        compareWithRecorded("message.elements.txt", PeerMessage.serializer().descriptor.listElements("message"))
    }

    test("`samples of messages are written and read as recorded`") {
        val written = PeerMessage.serializer().samples().map { hex.formatHex(encodeMessage(it)) }
        for (line in compareWithRecorded("message.samples.txt", written)) {
            hex.formatHex(encodeMessage(decodeMessage(hex.parseHex(line)))) shouldBe line
        }
    }
})
