package magpiewheel.collector;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import magpiewheel.ipfix.Element;
import magpiewheel.ipfix.MessageReader;
import magpiewheel.records.FlowRecord;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands {@code flows ...}. */
@Command(
        name = "flows",
        description = "Collects the flows that fronts export.",
        subcommands = FlowsTool.Collect.class,
        mixinStandardHelpOptions = true)
public final class FlowsTool {
    private FlowsTool() {}

    /** Runs one of them; exit code 2 at a wrong call. */
    public static int run(String[] args) {
        return new CommandLine(new FlowsTool())
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    line.getErr().println("magpiewheel: " + e.getMessage());
                    return 1;
                })
                .execute(args);
    }

    @Command(
            name = "collect",
            mixinStandardHelpOptions = true,
            description =
                    "Listens for IPFIX over UDP and TCP; prints each record as a line of JSON, and sums at the end.")
    static final class Collect implements Callable<Integer> {
        @Parameters(paramLabel = "ADDRESS", description = "IPv4 address and port to listen at, as 127.0.0.1:4739")
        private String address;

        @Option(
                names = "--enterprise",
                defaultValue = "32473",
                description = "number of the fronts' own elements (${DEFAULT-VALUE})")
        private long enterprise;

        @Option(
                names = "--messages",
                defaultValue = "0",
                description = "end after so many messages; 0 goes on until SIGTERM")
        private long messages;

        @Option(names = "--sums", description = "print no records, only the sums")
        private boolean sumsOnly;

        @Override
        public Integer call() throws IOException, InterruptedException {
            InetSocketAddress at = at(address);
            Sums sums = new Sums();
            CountDownLatch left = new CountDownLatch(
                    messages > 0 && messages < Integer.MAX_VALUE ? (int) messages : Integer.MAX_VALUE);
            PrintStream out = System.out;
            Thread end = new Thread(() -> sums.table().forEach(System.err::println));
            try (Collector collector = new Collector(
                    at,
                    enterprise,
                    (from, message) -> {
                        sums.add(from, message);
                        if (!sumsOnly) {
                            message.records().forEach(data -> out.println(json(from, data)));
                        }
                        left.countDown();
                    },
                    (from, why) -> System.err.println("magpiewheel: refused a message of " + from + ": " + why))) {
                System.err.println("magpiewheel: collecting at " + collector.address());
                Runtime.getRuntime().addShutdownHook(end);
                left.await();
            }
            return 0;
        }

        private InetSocketAddress at(String text) throws IOException {
            int colon = text.lastIndexOf(':');
            if (colon < 0
                    || !text.substring(0, colon).matches("(\\d{1,3}\\.){3}\\d{1,3}")
                    || !text.substring(colon + 1).matches("\\d{1,5}")
                    || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
                throw new CommandLine.ParameterException(
                        new CommandLine(this), "ADDRESS: expected an IPv4 address and a port, got " + text);
            }
            return new InetSocketAddress(
                    InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
        }
    }

    /** A record as a line: addresses and numbers of ours in the form that people read. */
    static String json(String from, MessageReader.Data data) {
        JsonObject line = new JsonObject();
        line.addProperty("exporter", from);
        line.addProperty("template", data.template());
        for (Map.Entry<String, Object> each : data.values().entrySet()) {
            String name = each.getKey();
            Object value = each.getValue();
            if (value instanceof Long number) {
                if (name.endsWith("IPv4Address")) {
                    line.addProperty(
                            name,
                            (number >> 24 & 255) + "." + (number >> 16 & 255) + "." + (number >> 8 & 255) + "."
                                    + (number & 255));
                } else if (name.equals(Element.OBJECT.title)) {
                    line.addProperty(name, HexFormat.of().toHexDigits(number));
                } else if (name.equals(Element.KIND.title)) {
                    line.addProperty(name, Sums.name(FlowRecord.Kind.values(), number));
                } else if (name.equals(Element.SOURCE_KIND.title)) {
                    line.addProperty(name, Sums.name(FlowRecord.SourceKind.values(), number));
                } else if (name.equals(Element.END.title)) {
                    line.addProperty(name, Sums.name(FlowRecord.End.values(), number));
                } else if (name.equals(Element.HIT.title)) {
                    line.addProperty(name, Sums.name(FlowRecord.Hit.values(), number));
                } else {
                    line.addProperty(name, number);
                }
            } else {
                line.addProperty(name, String.valueOf(value));
            }
        }
        return new Gson().toJson(line);
    }
}
