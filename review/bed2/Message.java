import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** An HTTP/1.1 message that was read from a connection. */
final class Message {
    final String start;
    final Map<String, String> fields = new LinkedHashMap<>();
    byte[] body = new byte[0];
    /** True if the body ended with the connection. */
    boolean isUnframed;

    private Message(String start) {
        this.start = start;
    }

    String field(String name) {
        return fields.get(name.toLowerCase());
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    String method() {
        return start.split(" ")[0];
    }

    String target() {
        return start.split(" ")[1];
    }

    /** Reads a head and its body; returns null when the connection ends before a first byte. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        Message found = readHead(in);
        if (found != null) found.readBody(in, isResponse);
        return found;
    }

    static Message readHead(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Message found = new Message(start);
        for (String line = line(in); ; line = line(in)) {
            if (line == null) throw new EOFException("end within a head");
            if (line.isEmpty()) return found;
            int colon = line.indexOf(':');
            if (colon < 1) throw new IOException("no field: " + line);
            found.fields.merge(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim(),
                (a, b) -> a + ", " + b);
        }
    }

    void readBody(InputStream in, boolean isResponse) throws IOException {
        String length = field("Content-Length");
        if ("chunked".equalsIgnoreCase(field("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                all.write(exactly(in, size));
                line(in);
            }
            String trailer = line(in);
            while (trailer != null && !trailer.isEmpty()) trailer = line(in);
            body = all.toByteArray();
        } else if (length != null) {
            body = exactly(in, Integer.parseInt(length));
        } else if (isResponse && status() != 204 && status() != 304) {
            isUnframed = true;
            body = in.readAllBytes();
        }
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new EOFException("end within a body");
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("end within a body");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        while (next != '\n') {
            if (next < 0) throw new EOFException("end within a line");
            bytes.write(next);
            next = in.read();
        }
        String line = bytes.toString(StandardCharsets.ISO_8859_1);
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }
}
