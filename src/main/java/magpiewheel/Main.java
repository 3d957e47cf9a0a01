package magpiewheel;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import magpiewheel.adapter.Adapter;
import magpiewheel.collector.FlowsTool;
import magpiewheel.config.ConfigException;
import magpiewheel.config.ConfigTool;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EventLog;
import magpiewheel.flows.FlowExporter;
import magpiewheel.resp.RespServer;

/** The program's entry point: runs the command that the first argument names, and shuts the router down on SIGTERM. */
public final class Main {
    private static final String USAGE =
            "usage: magpiewheel.jar serve | adapter | config write APP | config check FILE\n"
                    + "       magpiewheel.jar flows collect ADDRESS";
    private static final String APP_FILE = "deploy/dns.json";
    /**
     * ms; how long new connections are accepted after SIGTERM before clients are disconnected. New connections arrive
     * for 0.4 s and requests on them for another 0.2 s, and a close that crosses a request costs the client a retry.
     * The rest is a margin for a slow machine.
     */
    private static final long ACCEPT_AFTER_SIGTERM_MS = 800;

    private static final long LONGEST_DEADLINE_MS = 7_000;
    /**
     * us; requests accepted after SIGTERM are answered within this time, since a process may be killed 3.7 s after it.
     */
    private static final long ANSWER_AFTER_SIGTERM_US = 3_400_000;
    /**
     * ms; by then every accepted request is answered: clients that are still sending a request don't delay the exit.
     */
    private static final long MAX_CLIENT_WAIT_MS = 3_500;

    private static final int EXIT_INVALID = 2;
    private static final long MAX_FLOW_EXPORT_MS = 300;
    /** Exit code of the process; 0 for a planned shutdown. */
    private static volatile int exitCode;

    private Main() {}

    /** Runs the command that the first argument names; exit code 2 on a usage error or an invalid configuration. */
    public static void main(String[] args) {
        String command = args.length > 0 ? args[0] : "";
        try {
            switch (command) {
                case "serve" -> {
                    Startup.start(System.getenv(), Path.of(System.getenv().getOrDefault("MAGPIEWHEEL_APP", APP_FILE)));
                    Thread.currentThread().join();
                }
                case "train" -> train();
                case "adapter" -> Adapter.main(args);
                case "config" -> System.exit(ConfigTool.run(args));
                case "flows" -> System.exit(FlowsTool.run(Arrays.copyOfRange(args, 1, args.length)));
                default -> exit(USAGE);
            }
        } catch (ConfigException e) {
            exit("magpiewheel: " + e.getMessage());
        } catch (IOException | InterruptedException e) {
            System.err.println("magpiewheel: " + e.getMessage());
            exitCode = 1;
            System.exit(exitCode);
        }
    }

    private static void exit(String line) {
        System.err.println(line);
        exitCode = EXIT_INVALID;
        System.exit(exitCode);
    }

    /**
     * Run by the build: loads the classes that a router needs, so that the class archive has them and restarts are
     * fast.
     */
    private static void train() throws IOException {
        RespServer server = Startup.start(Map.of("GW_CONFIG", "deploy/train.json"), Path.of(APP_FILE));
        try (Socket client =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            client.setSoTimeout((int) LONGEST_DEADLINE_MS);
            client.getOutputStream()
                    .write(("*4\r\n$3\r\nASK\r\n$1\r\n1\r\n$1\r\nv\r\n$44\r\n"
                                    + "trace=0000000000000001,patience=500,entity=1\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            client.getInputStream().read();
        }
        System.exit(0);
    }

    /** Shuts down on SIGTERM: accepts clients for a short time, then finishes their requests. */
    static void shutDown(
            RespServer server, Engine engine, FlowExporter exporter, List<Runnable> closers, Counters counters) {
        if (exitCode != 0) {
            // Startup failed: the exit must not look like a planned shutdown.
            Runtime.getRuntime().halt(exitCode);
        }
        long startNs = System.nanoTime();
        EventLog.log(EventLog.Event.STATE, "process=ending by=signal " + server.describe());
        engine.stopServing();
        server.answerWithin(ANSWER_AFTER_SIGTERM_US);
        try {
            if (server.isShared()) {
                // The next process accepts on the same listener, so clients can reconnect there.
                server.close();
            }
            Thread.sleep(ACCEPT_AFTER_SIGTERM_MS);
            server.close();
            // Every request that was read is answered, so connections are closed before the process exits.
            for (long elapsedMs = 0;
                    elapsedMs < LONGEST_DEADLINE_MS
                            && (engine.inFlight() > 0
                                    || server.busy()
                                    || server.hasClients() && elapsedMs < MAX_CLIENT_WAIT_MS);
                    elapsedMs = (System.nanoTime() - startNs) / 1_000_000) {
                Thread.sleep(10);
            }
            if (exporter != null) {
                exporter.end(MAX_FLOW_EXPORT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // Halting waits 0.3 s for threads that are blocked in a socket call.
        engine.shutDown(List.of());
        EventLog.log(
                EventLog.Event.STATE,
                "process=ended after_ms=" + (System.nanoTime() - startNs) / 1_000_000 + " " + server.describe());
        closers.forEach(Runnable::run);
        System.err.println("magpiewheel: counters " + counters);
        Runtime.getRuntime().halt(0);
    }
}
