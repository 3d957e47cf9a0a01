import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Starts the program by the deploy file's command, and ends everything that it started. */
final class Rig {
    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    interface Work {
        void run() throws Exception;
    }

    /** Returns the exit code of a case. */
    interface Case {
        int run(boolean trouble) throws Exception;
    }

    /** The root of the repository, from which the deploy file's commands run. */
    static final Path ROOT = Path.of("").toAbsolutePath();

    static Path temp;
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();

    private Rig() {}

    /** Runs a case whose folder is given, ends all processes, and exits with its code. */
    static void main(String folder, Case body) {
        int code = COULD_NOT_RUN;
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::endAll));
        try {
            Rec.open(ROOT.resolve("review").resolve(folder).resolve("record.txt"));
            temp = Files.createTempDirectory("review");
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Rec.log("TROUBLE=%s", trouble ? "1" : "0");
            code = body.run(trouble);
        } catch (Exception | AssertionError e) {
            Rec.log("the case could not run: %s", e);
            e.printStackTrace();
        }
        String verdict = code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "could not run";
        Rec.log("%s", verdict);
        System.out.println(verdict);
        endAll();
        System.exit(code);
    }

    private static void endAll() {
        for (Process process : PROCESSES) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        File[] files = temp == null ? null : temp.toFile().listFiles();
        if (files != null) {
            for (File file : files) {
                file.delete();
            }
            temp.toFile().delete();
        }
    }

    /** A process that ends with the case. */
    static void ends(Process process) {
        PROCESSES.add(process);
    }

    static Thread daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The other side has ended the connection, or the case has.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A TCP port of 127.0.0.1 that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static Path file(String name, String text) throws IOException {
        return Files.writeString(temp.resolve(name), text);
    }

    /** The command of one front, as the deploy file has it. */
    static String runCommand() throws IOException {
        for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run")) {
                int from = line.indexOf('"') + 1;
                return line.substring(from, line.indexOf('"', from));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    static void sleepUntil(long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - Rec.ms()));
    }

    /** One process of the program. */
    static final class Front {
        final String name;
        final Process process;
        final InetSocketAddress address;
        final List<String> log = new CopyOnWriteArrayList<>();

        /** Starts it; a log that nobody reads stays in the pipe. */
        Front(String name, int port, Path config, Path app, boolean logIsRead, Map<String, String> more)
                throws IOException {
            this(name, port, config, app, logIsRead, more, null);
        }

        Front(
                String name,
                int port,
                Path config,
                Path app,
                boolean logIsRead,
                Map<String, String> more,
                ProcessBuilder.Redirect stdin)
                throws IOException {
            this.name = name;
            address = new InetSocketAddress("127.0.0.1", port);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).directory(ROOT.toFile());
            builder.environment().put("GW_NAME", name);
            builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temp.toString());
            if (app != null) {
                builder.environment().put("MAGPIEWHEEL_APP", app.toString());
            }
            builder.environment().putAll(more);
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
            if (stdin != null) {
                builder.redirectInput(stdin);
            }
            process = builder.start();
            PROCESSES.add(process);
            Rec.log("%s started, pid %d", name, process.pid());
            if (logIsRead) {
                readLog();
            }
        }

        /** Reads the log from now on, into the record. */
        void readLog() {
            daemon(() -> {
                BufferedReader in = new BufferedReader(
                        new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8));
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    log.add(line);
                    Rec.log("%s says: %s", name, line);
                }
            });
        }

        /** Waits until it answers STATUS with UP. */
        void awaitUp() throws Exception {
            for (int tries = 0; tries < 300; tries++) {
                if (!process.isAlive()) {
                    throw new IOException(name + " ended with " + process.exitValue());
                }
                try (Client client = new Client(address)) {
                    client.send("STATUS", 1, "");
                    Client.Answer answer = client.answer();
                    if (answer != null && answer.word().equals("UP")) {
                        Rec.log("%s is up", name);
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                Thread.sleep(50);
            }
            throw new IOException(name + " never came up");
        }

        void signal(String signal) throws Exception {
            Rec.log("%s gets SIG%s", name, signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    /** A class of requests in the settings. */
    static String profile(String name, long goalUs, long deadlineUs, String more) {
        return String.format(
                "{\"name\":\"%s\",\"goal_time_us\":%d,\"deadline_us\":%d,\"worth\":1%s}",
                name, goalUs, deadlineUs, more);
    }

    /**
     * The configuration of front {@code me} of a small deployment in zone east: {@code top} holds further members of the
     * file, {@code extra} of {@code settings.extra}; each ends in a comma.
     */
    static String config(String top, String extra, List<String> profiles, List<Node> nodes) {
        List<String> entries = new ArrayList<>();
        nodes.forEach(node -> entries.add(node.entry()));
        return "{" + top
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,"
                + "\"known\":{\"rev\":1,\"notices\":[{\"rev\":1,\"pool\":{\"generation\":1,\"reset\":true,\"instances\":["
                + String.join(",", entries)
                + "]}}]},\"settings\":{\"azs\":[\"central\",\"east\"],\"machine_types\":[\"box\",\"parent\",\"origin\"],"
                + "\"me\":0,\"instances\":1,\"zone\":1,\"extra\":{" + extra
                + "\"instances_by_zone\":[0,1],\"attached_to\":[0,0],\"inlet_kb_per_s\":[0,90000],\"joins\":false,"
                + "\"parent_kind\":1,\"store_kind\":2,\"one_flow_kb_per_s\":5000,\"may_pass_by\":true,\"detail\":\"all\","
                + "\"cleared_within_us\":6000000,\"notice_time_us\":300000,\"parent_starts_at\":0.06,"
                + "\"parent_cold_us\":20000000,\"upper_fall_multiple\":2},"
                + "\"limits\":{\"cancel\":true,\"peers\":false,\"retry_after\":true,\"may_duplicate\":false,"
                + "\"max_attempts\":8,\"max_open\":20000,\"max_retry_after_us\":1000000,\"dial_timeout_us\":400000,"
                + "\"idle_close_us\":30000000},"
                + "\"rules\":{\"cold_from\":0.18,\"drain_grace_us\":500000,\"tip_after_us\":3000000,\"tip_multiple\":3,"
                + "\"warm_up_us\":16000000,\"grace_to_answer_us\":8000},"
                + "\"profiles\":[" + String.join(",", profiles) + "]}}";
    }
}
