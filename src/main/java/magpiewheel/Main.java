package magpiewheel;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import magpiewheel.adapter.Adapter;
import magpiewheel.collector.FlowsTool;
import magpiewheel.config.ConfigException;
import magpiewheel.config.ConfigTool;
import magpiewheel.resp.RespServer;

/** The program's entry point: runs the command that the first argument names, and shuts the router down on SIGTERM. */
public final class Main {
    private static final String USAGE =
            "usage: magpiewheel.jar serve | adapter | config write APP | config check FILE\n"
                    + "       magpiewheel.jar flows collect ADDRESS";
    private static final String APP_FILE = "deploy/dns.json";
    /** ms; the longest wait of the build's training run for its one answer. */
    private static final int TRAINING_TIMEOUT_MS = 7_000;

    private static final int EXIT_INVALID = 2;
    private static final int EXIT_FAILED = 1;

    /** How a router ends; null for the other commands. */
    private static Shutdown shutdown;

    private Main() {}

    /** Runs the command that the first argument names; exit code 2 on a usage error or an invalid configuration. */
    public static void main(String[] args) {
        String command = args.length > 0 ? args[0] : "";
        try {
            switch (command) {
                case "serve" -> {
                    shutdown = new Shutdown();
                    Startup.start(
                            shutdown,
                            System.getenv(),
                            Path.of(System.getenv().getOrDefault("MAGPIEWHEEL_APP", APP_FILE)));
                    Thread.currentThread().join();
                }
                case "train" -> train();
                case "adapter" -> Adapter.main(args);
                case "config" -> System.exit(ConfigTool.run(args));
                case "flows" -> System.exit(FlowsTool.run(Arrays.copyOfRange(args, 1, args.length)));
                default -> exit(EXIT_INVALID, USAGE);
            }
        } catch (ConfigException e) {
            exit(EXIT_INVALID, "magpiewheel: " + e.getMessage());
        } catch (IOException | InterruptedException e) {
            exit(EXIT_FAILED, "magpiewheel: " + e.getMessage());
        } catch (RuntimeException e) {
            exit(EXIT_FAILED, "magpiewheel: " + e + " at " + Arrays.toString(e.getStackTrace()));
        }
    }

    private static void exit(int code, String line) {
        System.err.println(line);
        if (shutdown == null) {
            System.exit(code);
        } else {
            shutdown.fail(code);
        }
    }

    /**
     * Run by the build: loads the classes that a router needs, so that the class archive has them and restarts are
     * fast.
     */
    private static void train() throws IOException {
        RespServer server = Startup.start(new Shutdown(), Map.of("GW_CONFIG", "deploy/train.json"), Path.of(APP_FILE));
        try (Socket client =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            client.setSoTimeout(TRAINING_TIMEOUT_MS);
            client.getOutputStream()
                    .write(("*4\r\n$3\r\nASK\r\n$1\r\n1\r\n$1\r\nv\r\n$44\r\n"
                                    + "trace=0000000000000001,patience=500,entity=1\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            client.getInputStream().read();
        }
        System.exit(0);
    }
}
