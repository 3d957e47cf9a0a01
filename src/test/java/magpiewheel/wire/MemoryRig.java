package magpiewheel.wire;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.NoSuchElementException;
import org.testng.SkipException;

/** One router with limits on memory and descriptors, six caches and an origin, for tests of what clients cost it. */
final class MemoryRig implements AutoCloseable {
    /** The share of the memory limit that a process may use. */
    static final double MEMORY_SHARE = 0.9;

    private static final int CACHES = 6;
    private static final long CACHE_MS = 20;
    private static final byte[] LARGE = new byte[240_000];
    private static final byte[] SMALL = new byte[2_000];

    private final Fleet fleet = new Fleet();
    private final List<StandInNode> nodes = new ArrayList<>();
    private final int memoryMb;
    private final String config;
    final Fleet.Front front;

    /** Starts a router whose settings name these limits. */
    MemoryRig(int memoryMb, int sockets) throws Exception {
        this(memoryMb, sockets, "");
    }

    /** Likewise, with further members of the configuration, each ending in a comma. */
    MemoryRig(int memoryMb, int sockets, String more) throws Exception {
        this.memoryMb = memoryMb;
        config = config(sockets, more);
        front = fleet.front("n0", config, OneFront.OFF, "sh", "-c", "ulimit -n " + sockets + "; exec \"$@\"", "sh");
        front.await("has practised");
    }

    private String config(int sockets, String more) throws IOException {
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= CACHES + 1; i++) {
            StandInNode node = new StandInNode((line, body) -> null);
            node.abreast(MemoryRig::answer);
            nodes.add(node);
            boolean origin = i > CACHES;
            String id = origin ? "s-f0000009" : String.format("s-%08x", i);
            entries.add(Fleet.node(id, node.address(), origin ? "central" : "east", origin ? "origin" : "box"));
        }
        String limits = "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
                + "},\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,";
        return Fleet.config("127.0.0.1:0", 0, 1, limits + more, entries.toArray(String[]::new));
    }

    private static byte[] answer(String line) throws InterruptedException {
        Thread.sleep(CACHE_MS);
        return StandInNode.done(line, OneFront.HIT, line.contains("cls=video") ? LARGE : SMALL);
    }

    /** The largest memory of the process so far, in MB, with the files that it maps. */
    double peakMb() throws IOException {
        return statusKb(front.process.toHandle(), "VmHWM:") / 1_024.0;
    }

    /** Likewise, or the given value if the process has just ended. */
    double lastPeakMb(double otherwise) {
        try {
            return peakMb();
        } catch (IOException | SkipException | NoSuchElementException e) {
            return otherwise;
        }
    }

    /** The most that the process may use, in MB. */
    double mayUseMb() {
        return memoryMb * MEMORY_SHARE;
    }

    /** How many lines of the log tell of a fault or of an exception. */
    long faults() {
        return front.said.stream()
                .filter(line -> line.contains("fault") && !line.contains("faults=0") || line.contains("Exception"))
                .count();
    }

    /** The threads of the process. */
    long threads() throws IOException {
        return statusKb(front.process.toHandle(), "Threads:");
    }

    /** A number of a process's status file. */
    static long statusKb(ProcessHandle process, String name) throws IOException {
        Path status = Path.of("/proc/" + process.pid() + "/status");
        if (!Files.exists(status)) {
            throw new SkipException("no /proc here, or the process has ended");
        }
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith(name))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")))
                .findFirst()
                .orElseThrow();
    }

    /** Sends the process a signal by its name. */
    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(front.process.pid()))
                .start()
                .waitFor();
    }

    @Override
    public void close() throws IOException {
        fleet.close();
        for (StandInNode node : nodes) {
            node.close();
        }
    }
}
