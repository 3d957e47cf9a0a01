import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each event, with milliseconds since the start of the run. */
final class Rec {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Rec() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Milliseconds since the start of the run. */
    static long ms() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void log(String format, Object... args) {
        out.printf("%7d ms  %s%n", ms(), args.length == 0 ? format : String.format(format, args));
    }
}
