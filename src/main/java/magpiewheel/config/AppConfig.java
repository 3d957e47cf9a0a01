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
 * The configuration of an application: connection and buffer limits, fleet options, reads with bounded staleness
 * ({@code pins}), DNS request routing, and flow export (null when it is disabled).
 */
public record AppConfig(
        int clients,
        int endpointConnections,
        int buffers,
        int heartbeatMs,
        boolean reachabilityProbes,
        boolean regions,
        int originTransfers,
        boolean pins,
        boolean dns,
        InetSocketAddress dnsListen,
        String dnsZone,
        Flows flows) {
    /** Flow export: the collectors in order of preference, and the limits on records that wait to be exported. */
    public record Flows(
            List<FlowExporter.Target> collectors,
            int domain,
            int templateMs,
            long enterprise,
            int mtu,
            int store,
            int drainPerS,
            int intervalMs) {}

    /** Checks the type and range of the value of a key. */
    private interface ValueCheck {
        void check(Json json, String key) throws ConfigException;
    }

    private record Key(String section, String name, Object defaultValue, ValueCheck valueCheck) {}

    private static final ValueCheck FLAG = (json, key) -> json.bool(key, false);
    private static final ValueCheck ADDRESS =
            (json, key) -> RouterConfig.address(json.fullName(key), json.string(key, null));
    private static final ValueCheck ZONE = (json, key) -> {
        if (!json.string(key, "")
                .matches("(?i)[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?){0,8}")) {
            throw json.invalid(key, "a domain name without the trailing dot");
        }
    };
    private static final ValueCheck COLLECTORS = (json, key) -> collectors(json, key, null);
    private static final int MAX_COLLECTORS = 4;
    private static final int MIN_HEARTBEAT_MS = 10;
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

    private static ValueCheck range(int min, int max) {
        return (json, key) -> json.integer(key, min, min, max);
    }

    /**
     * Reads the configuration from a file.
     *
     * @throws ConfigException names the first invalid or unknown key
     */
    public static AppConfig read(Path file) throws ConfigException {
        Json root = root(file);
        List<String> errors = errors(root);
        if (!errors.isEmpty()) {
            throw new ConfigException(errors.get(0));
        }
        Json front = root.object("front");
        Json fleet = root.object("fleet");
        Json dns = root.object("dns");
        Json flows = root.object("flows");
        return new AppConfig(
                integer(front, "front", "clients"),
                integer(front, "front", "node_connections"),
                integer(front, "front", "buffers"),
                heartbeatMs(integer(fleet, "fleet", "beat_ms"), dns.bool("enabled", false)),
                fleet.bool("refusals", false),
                fleet.bool("regions", false),
                integer(fleet, "fleet", "origin_transfers"),
                root.object("pins").bool("enabled", false),
                dns.bool("enabled", false),
                RouterConfig.address("dns.listen", dns.string("listen", (String) defaultValue("dns", "listen"))),
                dns.string("zone", (String) defaultValue("dns", "zone")),
                flows.bool("enabled", false) ? flows(flows) : null);
    }

    /**
     * Returns the heartbeat interval in ms. 0 selects the fast interval if DNS is enabled, since DNS answers list the
     * live routers, and the slow one if only the routing module uses membership.
     */
    private static int heartbeatMs(int configuredMs, boolean dns) {
        return configuredMs > 0
                ? Math.max(MIN_HEARTBEAT_MS, configuredMs)
                : (int) ((dns ? MembershipConfig.FAST_HEARTBEAT_US : MembershipConfig.SLOW_HEARTBEAT_US) / 1_000);
    }

    private static Flows flows(Json json) throws ConfigException {
        return new Flows(
                collectors(json, "collector", (String) defaultValue("flows", "collector")),
                integer(json, "flows", "domain"),
                integer(json, "flows", "template_ms"),
                integer(json, "flows", "enterprise"),
                integer(json, "flows", "mtu"),
                integer(json, "flows", "store"),
                integer(json, "flows", "drain_per_s"),
                integer(json, "flows", "interval_ms"));
    }

    /**
     * Parses one or more collectors, separated by commas: each an address and a port, with an optional prefix
     * {@code udp:} (the default) or {@code tcp:}.
     */
    private static List<FlowExporter.Target> collectors(Json json, String key, String defaultValue)
            throws ConfigException {
        List<FlowExporter.Target> targets = new ArrayList<>();
        for (String collector : json.string(key, defaultValue).split(",", -1)) {
            boolean tcp = collector.startsWith("tcp:");
            String address = tcp || collector.startsWith("udp:") ? collector.substring(4) : collector;
            targets.add(new FlowExporter.Target(tcp, RouterConfig.address(json.fullName(key), address)));
        }
        if (targets.size() > MAX_COLLECTORS) {
            throw json.invalid(key, "at most " + MAX_COLLECTORS + " collectors");
        }
        return List.copyOf(targets);
    }

    private static Object defaultValue(String section, String name) {
        return KEYS.stream()
                .filter(key -> key.section().equals(section) && key.name().equals(name))
                .findFirst()
                .orElseThrow()
                .defaultValue();
    }

    private static int integer(Json json, String section, String name) throws ConfigException {
        return json.integer(name, (Integer) defaultValue(section, name));
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

    /** Returns one line for each invalid or unknown key of a file; empty if the file is valid. */
    public static List<String> check(Path file) {
        try {
            return errors(root(file));
        } catch (ConfigException e) {
            return List.of(e.getMessage());
        }
    }

    private static List<String> errors(Json root) {
        List<String> errors = new ArrayList<>();
        Set<String> sections = new TreeSet<>(Set.of(APPLICATION));
        KEYS.forEach(key -> sections.add(key.section()));
        addUnknownKeys(root, sections, errors);
        collectError(errors, () -> root.string(APPLICATION, ""));
        for (String section : sections) {
            if (section.equals(APPLICATION)) {
                continue;
            }
            collectError(errors, () -> {
                Json json = root.object(section);
                List<Key> keys = KEYS.stream()
                        .filter(key -> key.section().equals(section))
                        .toList();
                addUnknownKeys(json, new TreeSet<>(keys.stream().map(Key::name).toList()), errors);
                for (Key key : keys) {
                    if (json.has(key.name())) {
                        collectError(errors, () -> key.valueCheck().check(json, key.name()));
                    }
                }
            });
        }
        return errors;
    }

    private interface Check {
        void run() throws ConfigException;
    }

    private static void collectError(List<String> errors, Check check) {
        try {
            check.run();
        } catch (ConfigException e) {
            errors.add(e.getMessage());
        }
    }

    private static void addUnknownKeys(Json json, Set<String> known, List<String> errors) {
        for (String key : json.keys()) {
            if (!known.contains(key)) {
                errors.add(json.invalid(key, "no such key; known keys are " + String.join(", ", known))
                        .getMessage());
            }
        }
    }

    /**
     * Writes a configuration file for an application with every key at its default value, and returns its path.
     *
     * @throws ConfigException if the name is invalid or the file exists; an existing file is never overwritten
     */
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
            if (key.defaultValue() instanceof Boolean flag) {
                section.addProperty(key.name(), flag);
            } else if (key.defaultValue() instanceof Number number) {
                section.addProperty(key.name(), number);
            } else {
                section.addProperty(key.name(), key.defaultValue().toString());
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
