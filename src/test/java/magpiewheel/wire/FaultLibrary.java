package magpiewheel.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import org.testng.SkipException;

/** A library that makes the system calls of a process fail, and its wall clock wrong; compiled where there is a cc. */
final class FaultLibrary {
    private static final String SOURCE = "src/test/resources/magpiewheel/faults.c";
    private final Path library;
    private final Path clock;

    /** Compiles the library into a folder; the test is skipped where that can't be done. */
    FaultLibrary(Path folder) throws IOException, InterruptedException {
        library = folder.resolve("faults.so");
        clock = folder.resolve("clock-offset");
        setClockOffset(0);
        try {
            int code = new ProcessBuilder(
                            "cc",
                            "-O1",
                            "-shared",
                            "-fPIC",
                            "-o",
                            library.toString(),
                            Path.of(SOURCE).toString(),
                            "-ldl")
                    .inheritIO()
                    .start()
                    .waitFor();
            if (code != 0) {
                throw new SkipException("the C compiler refuses " + SOURCE);
            }
        } catch (IOException e) {
            throw new SkipException("no C compiler here: " + e.getMessage());
        }
    }

    /** The wall clock of the processes is off by so many ms from now on. */
    void setClockOffset(long ms) throws IOException {
        ByteBuffer offset = ByteBuffer.allocate(Long.BYTES).order(ByteOrder.nativeOrder());
        offset.putLong(0, ms * 1_000_000);
        try (FileChannel file = FileChannel.open(clock, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            file.write(offset, 0);
        }
    }

    /** The environment of a process with these faults, each {@code call:errno:every}. */
    Map<String, String> environment(String faults) {
        Map<String, String> all = new HashMap<>();
        all.put("LD_PRELOAD", library.toString());
        all.put("FAULTS", faults);
        all.put("FAULT_CLOCK", clock.toString());
        return all;
    }

    static Path folder() throws IOException {
        return Files.createTempDirectory("faults");
    }
}
