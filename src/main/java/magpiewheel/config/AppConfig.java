package magpiewheel.config;

import com.google.gson.JsonObject;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** An application's configuration: the bounds of its front, DNS request routing and flow export. */
public record AppConfig(int clients, int nodeConnections, int buffers, boolean dns, InetSocketAddress dnsListen,
        String dnsZone, boolean flows, InetSocketAddress collector, int domain, int templateMs) {
    /** What a value must be. */
    private interface Reading {
        void check(Json at, String key) throws ConfigException;
    }

    private record Key(String section, String name, Object preset, Reading reading) { }

    private static final Reading FLAG = (at, key) -> at.flag(key, false);
    private static final Reading ADDRESS = (at, key) -> FrontConfig.address(at.name(key), at.text(key, null));
    private static final Reading ZONE = (at, key) -> {
        if (!at.text(key, "").matches("(?i)[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?){0,8}")) {
            throw at.wrong(key, "a domain name without the last dot");
        }
    };
    private static final String APPLICATION = "application";
    private static final List<Key> KEYS = List.of(
            new Key("front", "clients", 349, range(1, 4_096)),
            new Key("front", "node_connections", 341, range(1, 4_096)),
            new Key("front", "buffers", 12_000, range(64, 1_048_576)),
            new Key("dns", "enabled", false, FLAG),
            new Key("dns", "listen", "127.0.0.1:5353", ADDRESS),
            new Key("dns", "zone", "routes.example", ZONE),
            new Key("flows", "enabled", false, FLAG),
            new Key("flows", "collector", "127.0.0.1:4739", ADDRESS),
            new Key("flows", "domain", 1, range(0, Integer.MAX_VALUE)),
            new Key("flows", "template_ms", 30_000, range(100, 3_600_000)));

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
        Json dns = root.group("dns");
        Json flows = root.group("flows");
        return new AppConfig(whole(front, 0), whole(front, 1), whole(front, 2), dns.flag("enabled", false),
                FrontConfig.address("dns.listen", dns.text("listen", (String) KEYS.get(4).preset())),
                dns.text("zone", (String) KEYS.get(5).preset()), flows.flag("enabled", false),
                FrontConfig.address("flows.collector", flows.text("collector", (String) KEYS.get(7).preset())),
                whole(flows, 8), whole(flows, 9));
    }

    private static int whole(Json at, int key) throws ConfigException {
        return at.whole(KEYS.get(key).name(), (Integer) KEYS.get(key).preset());
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
                List<Key> keys = KEYS.stream().filter(key -> key.section().equals(section)).toList();
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
                lines.add(at.wrong(key, "no such key; known are " + String.join(", ", known)).getMessage());
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
        return Files.writeString(file, new GsonBuilder().setPrettyPrinting().create().toJson(root) + "\n");
    }
}
