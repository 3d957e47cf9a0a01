package magpiewheel.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Processes of one router that are started and ended one after another, with their own or an inherited listener, two
 * caches and an origin. One of the caches, and the origin, never answer for objects that begin with ffffffff, and none
 * of them for objects that begin with eeeeeeee. Objects that begin with dddddddd have the largest body.
 */
final class TerminationRig implements AutoCloseable {
    /** Whose listener the router accepts clients on. */
    enum Listener {
        OWN,
        INHERITED
    }

    /** Holds a listener and starts the program with it as descriptor 0 for each line that it reads. */
    static final String PLATFORM = """
            use Socket; $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(S, PF_INET, SOCK_STREAM, 0); bind(S, sockaddr_in(0, INADDR_LOOPBACK)); listen(S, 512);
            open(IN, "<&STDIN"); open(STDIN, "<&S");
            while (<IN>) { my $pid = fork; if (!$pid) { exec @ARGV; } print "$pid\\n"; }
            """;

    private static final int BODY_BYTES = 900;
    static final int LARGEST_BODY_BYTES = 240_000;

    /** Every second object takes this share of the longest deadline, so that connections in use have no gap. */
    private static final int SLOW_DIVISOR = 5;

    private final Fleet fleet = new Fleet();
    private final StandInNode sound = new StandInNode((line, body) -> null);
    private final StandInNode hanging = new StandInNode((line, body) -> null);
    private final StandInNode origin = new StandInNode((line, body) -> null);
    private final Listener listener;
    private final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final String config;
    private final int slowMs;
    private Fleet.Front log;
    private Process platform;
    private BufferedReader pids;
    private Map<String, String> environment = Map.of();

    /** A deployment whose longest deadline is {@code deadlineMs}. */
    TerminationRig(int deadlineMs, Listener listener) throws IOException {
        this.listener = listener;
        slowMs = deadlineMs / SLOW_DIVISOR;
        sound.abreast(line -> answer(line, false));
        hanging.abreast(line -> answer(line, true));
        origin.abreast(line -> answer(line, true));
        long deadlineUs = TimeUnit.MILLISECONDS.toMicros(deadlineMs);
        config = Fleet.config(
                        "127.0.0.1:0",
                        0,
                        1,
                        "\"mgmt\":\"127.0.0.1:0\",",
                        Fleet.node("s-00000001", sound.address(), "east", "box"),
                        Fleet.node("s-00000002", hanging.address(), "east", "box"),
                        Fleet.node("s-f0000009", origin.address(), "central", "origin"))
                .replaceAll("\"deadline_us\":\\d+", "\"deadline_us\":" + deadlineUs)
                .replaceAll("\"goal_time_us\":\\d+", "\"goal_time_us\":" + deadlineUs / 3);
    }

    /** A request as it came to a cache or the origin, and when. */
    record Arrival(String line, long atNs) {
        /** The value of a field of the request, or of its id. */
        String field(String name) {
            String text = name.equals("id") ? line.split(" ")[1] : "";
            return text.isEmpty() ? line.replaceAll(".*[ ,]" + name + "=([^, ]*).*", "$1") : text;
        }
    }

    /** All requests that came to the caches and the origin. */
    List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    private byte[] answer(String line, boolean mayHang) throws InterruptedException {
        arrivals.add(new Arrival(line, System.nanoTime()));
        if (line.contains("item=eeeeeeee") || mayHang && line.contains("item=ffffffff")) {
            Thread.sleep(Fleet.WAIT_MS);
        }
        if (line.matches(".*item=[0-9a-f]{15}[02468ace],.*")) {
            Thread.sleep(slowMs);
        }
        int bytes = line.contains("item=dddddddd") ? LARGEST_BODY_BYTES : BODY_BYTES;
        return StandInNode.done(line, OneFront.HIT, new byte[bytes]);
    }

    /** More for the environment of the processes that are started from now on. */
    void environment(Map<String, String> more) {
        environment = more;
    }

    /** Starts a process, and returns it once it says that it is up. */
    ProcessHandle startProcess() throws Exception {
        if (listener == Listener.OWN) {
            log = fleet.front("n0", config, OneFront.OFF, environment);
            log.await("has practised");
            return log.process.toHandle();
        }
        if (platform == null) {
            startPlatform();
        }
        platform.getOutputStream().write('\n');
        platform.getOutputStream().flush();
        ProcessHandle process =
                ProcessHandle.of(Long.parseLong(pids.readLine())).orElseThrow();
        log.address = log.awaitAddress("listens at");
        log.await("has practised");
        return process;
    }

    private void startPlatform() throws IOException {
        Map<String, String> env = new java.util.HashMap<>(environment);
        env.putAll(Map.of(
                "GW_CONFIG",
                fleet.file("n0.json", config).toString(),
                "GW_SOCKET_FD",
                "0",
                "MAGPIEWHEEL_APP",
                fleet.file("app.json", OneFront.OFF).toString()));
        platform = fleet.run(env, List.of("perl", "-e", PLATFORM), "serve");
        log = new Fleet.Front(platform);
        pids = platform.inputReader();
    }

    /** Where clients connect. */
    InetSocketAddress address() {
        return log.address;
    }

    /** What the processes have logged so far. */
    List<String> logged() {
        return log.said;
    }

    /** Waits for a process to end by itself; false if it is still there after this time (ns). */
    static boolean awaitExit(ProcessHandle process, long ns) throws InterruptedException {
        // Not by onExit, which looks after a process that is no child only now and then.
        for (long startNs = System.nanoTime(); process.isAlive(); Thread.sleep(1)) {
            if (System.nanoTime() - startNs > ns) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        fleet.close();
        sound.close();
        hanging.close();
        origin.close();
    }
}
