package magpiewheel.config;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import magpiewheel.flows.FlowExporter;
import magpiewheel.membership.MembershipConfig;

/**
 * An application's configuration: the bounds of its front, pinned reads, DNS request routing and flow export (null
 * where it is off).
 */
public record AppConfig(
        int clients,
        int nodeConnections,
        int buffers,
        int beatMs,
        boolean refusals,
        boolean regions,
        int originTransfers,
        boolean pins,
        boolean dns,
        InetSocketAddress dnsListen,
        String dnsZone,
        Flows flows) {
    /** Flow export: the collectors, the best first, and the bounds of what waits for them. */
    public record Flows(
            List<FlowExporter.Target> collectors,
            int domain,
            int templateMs,
            long enterprise,
            int mtu,
            int store,
            int drainPerS,
            int intervalMs) {}

    /** What a value must be. */
    private interface Reading {
        void check(Json at, String key) throws ConfigException;
    }

    private record Key(String section, String name, Object preset, Reading reading) {}

    private static final Reading FLAG = (at, key) -> at.flag(key, false);
    private static final Reading ADDRESS = (at, key) -> FrontConfig.address(at.name(key), at.text(key, null));
    private static final Reading ZONE = (at, key) -> {
        if (!at.text(key, "")
                .matches("(?i)[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?){0,8}")) {
            throw at.wrong(key, "a domain name without the last dot");
        }
    };
    private static final Reading COLLECTORS = (at, key) -> collectors(at, key, null);
    private static final int MOST_COLLECTORS = 4;
    private static final int LEAST_BEAT_MS = 10;
    private static final String APPLICATION = "application";
    private static final List<Key> KEYS = List.of(
            new Key("front", "clients", 349, range(1, 4_096)),
            new Key("front", "node_connections", 341, range(1, 4_096)),
            new Key("front", "buffers", 12_000, range(64, 1_048_576)),
            new Key("fleet", "beat_ms", 0, range(0, 10_000)),
            new Key("fleet", "refusals", false, FLAG),
            new Key("fleet", "regions", false, FLAG),
            new Key("fleet", "origin_transfers", 0, range(0, 1_000_000)),
            new Key("pins", "enabled", false, FLAG),
            new Key("dns", "enabled", false, FLAG),
            new Key("dns", "listen", "127.0.0.1:5353", ADDRESS),
            new Key("dns", "zone", "routes.example", ZONE),
            new Key("flows", "enabled", false, FLAG),
            new Key("flows", "collector", "udp:127.0.0.1:4739", COLLECTORS),
            new Key("flows", "domain", 1, range(0, Integer.MAX_VALUE)),
            new Key("flows", "template_ms", 30_000, range(100, 3_600_000)),
            new Key("flows", "enterprise", 32_473, range(1, Integer.MAX_VALUE)),
            new Key("flows", "mtu", 1_420, range(512, 65_000)),
            new Key("flows", "store", 8_192, range(64, 1_048_576)),
            new Key("flows", "drain_per_s", 2_000, range(1, 1_000_000)),
            new Key("flows", "interval_ms", 5_000, range(100, 600_000)));

    private static Reading range(int least, int most) {
        return (at, key) -> at.whole(key, least, least, most);
    }

    /** Reads a file; the first wrong key is named. */
    public static AppConfig read(Path file) throws ConfigException {
        Json root = root(file);
        List<String> wrong = wrong(root);
        if (!wrong.isEmpty()) {
            throw new ConfigException(wrong.get(0));
        }
        Json front = root.group("front");
        Json fleet = root.group("fleet");
        Json dns = root.group("dns");
        Json flows = root.group("flows");
        return new AppConfig(
                whole(front, "front", "clients"),
                whole(front, "front", "node_connections"),
                whole(front, "front", "buffers"),
                beatMs(whole(fleet, "fleet", "beat_ms"), dns.flag("enabled", false)),
                fleet.flag("refusals", false),
                fleet.flag("regions", false),
                whole(fleet, "fleet", "origin_transfers"),
                root.group("pins").flag("enabled", false),
                dns.flag("enabled", false),
                FrontConfig.address("dns.listen", dns.text("listen", (String) preset("dns", "listen"))),
                dns.text("zone", (String) preset("dns", "zone")),
                flows.flag("enabled", false) ? flows(flows) : null);
    }

    /** ms; 0 stands for quick beats where lookups name live fronts, and for few where only the module hears of them. */
    private static int beatMs(int given, boolean dns) {
        return given > 0
                ? Math.max(LEAST_BEAT_MS, given)
                : (int) ((dns ? MembershipConfig.FAST_HEARTBEAT_US : MembershipConfig.SLOW_HEARTBEAT_US) / 1_000);
    }

    private static Flows flows(Json at) throws ConfigException {
        return new Flows(
                collectors(at, "collector", (String) preset("flows", "collector")),
                whole(at, "flows", "domain"),
                whole(at, "flows", "template_ms"),
                whole(at, "flows", "enterprise"),
                whole(at, "flows", "mtu"),
                whole(at, "flows", "store"),
                whole(at, "flows", "drain_per_s"),
                whole(at, "flows", "interval_ms"));
    }

    /**
     * One collector or several, divided by commas: an address and a port, with {@code udp:} or {@code tcp:} before it.
     */
    private static List<FlowExporter.Target> collectors(Json at, String key, String preset) throws ConfigException {
        List<FlowExporter.Target> all = new ArrayList<>();
        for (String one : at.text(key, preset).split(",", -1)) {
            boolean tcp = one.startsWith("tcp:");
            String address = tcp || one.startsWith("udp:") ? one.substring(4) : one;
            all.add(new FlowExporter.Target(tcp, FrontConfig.address(at.name(key), address)));
        }
        if (all.size() > MOST_COLLECTORS) {
            throw at.wrong(key, MOST_COLLECTORS + " collectors at most");
        }
        return List.copyOf(all);
    }

    private static Object preset(String section, String name) {
        return KEYS.stream()
                .filter(key -> key.section().equals(section) && key.name().equals(name))
                .findFirst()
                .orElseThrow()
                .preset();
    }

    private static int whole(Json at, String section, String name) throws ConfigException {
        return at.whole(name, (Integer) preset(section, name));
    }

    private static Json root(Path file) throws ConfigException {
        try {
            return Json.parse(Files.readString(file, StandardCharsets.UTF_8), file.toString());
        } catch (ConfigException e) {
            throw e;
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "a file that can be read");
        }
    }

    /** A line for every wrong or unknown key of a file. */
    public static List<String> check(Path file) {
        try {
            return wrong(root(file));
        } catch (ConfigException e) {
            return List.of(e.getMessage());
        }
    }

    private static List<String> wrong(Json root) {
        List<String> lines = new ArrayList<>();
        Set<String> sections = new TreeSet<>(Set.of(APPLICATION));
        KEYS.forEach(key -> sections.add(key.section()));
        unknown(root, sections, lines);
        tried(lines, () -> root.text(APPLICATION, ""));
        for (String section : sections) {
            if (section.equals(APPLICATION)) {
                continue;
            }
            tried(lines, () -> {
                Json at = root.group(section);
                List<Key> keys = KEYS.stream()
                        .filter(key -> key.section().equals(section))
                        .toList();
                unknown(at, new TreeSet<>(keys.stream().map(Key::name).toList()), lines);
                for (Key key : keys) {
                    if (at.has(key.name())) {
                        tried(lines, () -> key.reading().check(at, key.name()));
                    }
                }
            });
        }
        return lines;
    }

    private interface Step {
        void run() throws ConfigException;
    }

    private static void tried(List<String> lines, Step step) {
        try {
            step.run();
        } catch (ConfigException e) {
            lines.add(e.getMessage());
        }
    }

    private static void unknown(Json at, Set<String> known, List<String> lines) {
        for (String key : at.keys()) {
            if (!known.contains(key)) {
                lines.add(at.wrong(key, "no such key; known are " + String.join(", ", known))
                        .getMessage());
            }
        }
    }

    /** Writes the configuration of an application with every key at its preset; never over a file that exists. */
    public static Path write(String application, Path folder) throws IOException {
        if (!application.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")) {
            throw new ConfigException("APP", "a name of letters, digits, dots and dashes, got " + application);
        }
        JsonObject root = new JsonObject();
        root.addProperty(APPLICATION, application);
        for (Key key : KEYS) {
            if (!root.has(key.section())) {
                root.add(key.section(), new JsonObject());
            }
            JsonObject section = root.getAsJsonObject(key.section());
            if (key.preset() instanceof Boolean flag) {
                section.addProperty(key.name(), flag);
            } else if (key.preset() instanceof Number number) {
                section.addProperty(key.name(), number);
            } else {
                section.addProperty(key.name(), key.preset().toString());
            }
        }
        Path file = folder.resolve(application + ".json");
        if (Files.exists(file)) {
            throw new ConfigException(file.toString(), "a file that does not exist yet");
        }
        return Files.writeString(
                file, new GsonBuilder().setPrettyPrinting().create().toJson(root) + "\n");
    }
}
