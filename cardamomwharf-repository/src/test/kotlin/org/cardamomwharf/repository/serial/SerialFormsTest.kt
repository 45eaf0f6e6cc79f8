/*
 * Guards stored documents, heads and rows and the platform's list against renames in the code.
 */
package org.cardamomwharf.repository.serial

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import org.cardamomwharf.core.document.ClientBlock
import org.cardamomwharf.core.document.EnvironmentDocument
import org.cardamomwharf.repository.EnvironmentHead
import org.cardamomwharf.repository.PlatformInstance
import org.cardamomwharf.repository.StoredDocument
import org.cardamomwharf.repository.decodeBlocks
import org.cardamomwharf.repository.decodeDocument
import org.cardamomwharf.repository.encode
import org.cardamomwharf.repository.encodeBlocks

class SerialFormsTest : FunSpec({
    checkForms("stored-document", StoredDocument.serializer(), Json)
    checkForms("environment-document", EnvironmentDocument.serializer(), Json)
    checkForms("client-block", ClientBlock.serializer(), Json)
    checkForms("head", EnvironmentHead.serializer(), Json)
    checkForms("platform-instance", PlatformInstance.serializer(), Json)

    test("`contents and hashes of stored documents are those that were recorded`") {
        val documents = EnvironmentDocument.serializer().samples()
        val lines = documents.map { document ->
            val blocks = document.encodeBlocks()
            val contents = document.encode(blocks.hash)
            decodeDocument(contents.contents) shouldBe
                StoredDocument(document.copy(clientBlocks = emptyList()), blocks.hash)
            decodeBlocks(blocks.contents).toList() shouldBe document.clientBlocks
            "${blocks.hash} ${contents.hash} ${contents.contents.decodeToString()}"
        }
        compareWithRecorded("contents.txt", lines)
    }
})
