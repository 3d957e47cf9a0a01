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
import magpiewheel.flows.FlowExporter;
import magpiewheel.resp.RespServer;

/** The program's entry: runs the command that the first word names, and ends a front on SIGTERM. */
public final class Main {
    private static final String USAGE =
            "usage: magpiewheel.jar serve | adapter | config write APP | config check FILE\n"
                    + "       magpiewheel.jar flows collect ADDRESS";
    private static final String APP_FILE = "deploy/dns.json";
    /**
     * ms; after SIGTERM clients still come for so long, and only then leave is taken of those who are there: new
     * connections come for 0.4 s and requests on them for 0.2 s more, and an end that crosses a request costs a second
     * try. The rest is for a machine that is late.
     */
    private static final long ACCEPT_AFTER_SIGTERM_MS = 800;

    private static final long LONGEST_DEADLINE_MS = 7_000;
    /** us; a process may be killed 3.7 s after SIGTERM: what it takes after that signal is answered before. */
    private static final long ANSWER_AFTER_SIGTERM_US = 3_400_000;
    /**
     * ms; by then all that was taken is answered: who is still in the middle of a request does not hold the process up.
     */
    private static final long MAX_IDLE_CLIENT_WAIT_MS = 3_500;

    private static final int EXIT_INVALID = 2;
    private static final long FLOW_EXPORT_END_MS = 300;
    /** What the process ends with; a planned end counts as none. */
    private static volatile int exitCode;

    private Main() {}

    /** Runs what the first word names; exit code 2 at a wrong call or configuration. */
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

    /** Run by the build: loads what a front needs, so that the class archive holds it and restarts are short. */
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

    /** SIGTERM: clients still come for a moment, and what they asked for is finished. */
    static void shutDown(
            RespServer server, Engine engine, FlowExporter exporter, List<Runnable> closers, Counters counters) {
        if (exitCode != 0) {
            // It never came to serve: the end must not look like a planned one.
            Runtime.getRuntime().halt(exitCode);
        }
        long startNs = System.nanoTime();
        engine.stopServing();
        server.answerWithin(ANSWER_AFTER_SIGTERM_US);
        try {
            if (server.isShared()) {
                // The next process has the entrance, so clients are sent there.
                server.close();
            }
            Thread.sleep(ACCEPT_AFTER_SIGTERM_MS);
            server.close();
            // A request that is read is answered, so connections end before the process does.
            for (long elapsedMs = 0;
                    elapsedMs < LONGEST_DEADLINE_MS
                            && (engine.inFlight() > 0
                                    || server.busy()
                                    || server.hasClients() && elapsedMs < MAX_IDLE_CLIENT_WAIT_MS);
                    elapsedMs = (System.nanoTime() - startNs) / 1_000_000) {
                Thread.sleep(10);
            }
            if (exporter != null) {
                exporter.end(FLOW_EXPORT_END_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // Halting waits 0.3 s for threads that are inside a socket.
        engine.shutDown(List.of());
        closers.forEach(Runnable::run);
        System.err.println("magpiewheel: counters " + counters);
        Runtime.getRuntime().halt(0);
    }
}
