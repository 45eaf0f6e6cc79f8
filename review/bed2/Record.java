import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with milliseconds since the start. */
final class Record {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void add(String line) {
        out.printf("%7d ms  %s%n", now(), line);
    }

    synchronized void say(String line) {
        add(line);
        System.out.println(line);
    }
}
