/*
 * Checks that the JSON bodies of PUT /faults stay the same when code is renamed.
 */
package org.cardamomwharf.standin.serial

import io.kotest.core.spec.style.FunSpec
import kotlinx.serialization.json.Json
import org.cardamomwharf.standin.PlatformFaults
import org.cardamomwharf.standin.ServerFaults

class SerialFormsTest : FunSpec({
    checkForms("platform-faults", PlatformFaults.serializer(), Json)
    checkForms("server-faults", ServerFaults.serializer(), Json)
})
