package magpiewheel.config;

import com.google.gson.JsonElement;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.routing.EndpointInfo;
import magpiewheel.routing.EndpointState;

/** The configuration of a router: the environment variables and the JSON file that {@code GW_CONFIG} names. */
public record RouterConfig(
        String name,
        InetSocketAddress listen,
        long seed,
        int sockets,
        int memoryMb,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        InetSocketAddress discoveryServer,
        InetSocketAddress admin,
        boolean inheritsListener,
        long knownRevision,
        List<Notice> notices,
        long connectTimeoutUs,
        double flowBytesPerS,
        double linkBytesPerS,
        Settings settings) {
    private static final int DEFAULT_SOCKETS = 1_024;
    private static final int DEFAULT_MEMORY_MB = 192;

    /**
     * A discovery event: an endpoint list (if {@code endpoints} is not null), or a purge of {@code object} or, if that
     * is null, of {@code group}.
     */
    public record Notice(boolean fullList, List<ListedEndpoint> endpoints, Long object, int group, long atMs) {}

    /**
     * Reads the environment and the file.
     *
     * @throws ConfigException names the first invalid key in a single line
     */
    public static RouterConfig read(Map<String, String> env) throws ConfigException {
        String file = env.get("GW_CONFIG");
        if (file == null) {
            throw new ConfigException("GW_CONFIG", "the name of a file");
        }
        String text;
        try {
            text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
        } catch (IOException | RuntimeException e) {
            throw ConfigException.unreadable("GW_CONFIG", file);
        }
        Json root = Json.parse(text, "GW_CONFIG");
        Settings settings = Settings.of(root.object("settings"));
        RequiredSettings.check(root.object("settings"), settings.routing().requestClasses());
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonElement peer : root.array("peers")) {
            peers.add(address("peers", peer.isJsonPrimitive() ? peer.getAsString() : ""));
        }
        Json known = root.object("known");
        List<Notice> notices = new ArrayList<>();
        for (int i = 0; i < known.array("notices").size(); i++) {
            notices.add(notice(known.item("notices", i), settings));
        }
        String admin = env.getOrDefault("GW_MGMT", root.string("mgmt", null));
        String listen = env.getOrDefault("GW_LISTEN", root.string("listen", null));
        return new RouterConfig(
                env.getOrDefault("GW_NAME", root.string("name", "front")),
                address("listen", listen),
                seed(root),
                (int) root.object("limits").integer("sockets", DEFAULT_SOCKETS, 64, 1 << 20),
                (int) root.object("limits").integer("memory_mb", DEFAULT_MEMORY_MB, 1, 1 << 20),
                optional(root, "peer_listen"),
                List.copyOf(peers),
                optional(root, "peers_all"),
                optional(root, "board"),
                admin == null ? null : address(env.containsKey("GW_MGMT") ? "GW_MGMT" : "mgmt", admin),
                inheritsListener(env),
                known.integer("rev", 0, 0, Long.MAX_VALUE),
                List.copyOf(notices),
                settings.routing().limits().connectTimeoutUs(),
                root.number("flow_bytes_per_s", 0),
                root.number("link_bytes_per_s", 0),
                settings);
    }

    /** Whether the router accepts clients on a listening socket inherited from the platform, always as descriptor 0. */
    private static boolean inheritsListener(Map<String, String> env) throws ConfigException {
        String descriptor = env.getOrDefault("GW_SOCKET_FD", "");
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            throw new ConfigException("GW_SOCKET_FD", "0, got " + descriptor);
        }
        return !descriptor.isEmpty();
    }

    private static long seed(Json root) throws ConfigException {
        return hex("seed", root.string("seed", "0"));
    }

    /** Parses an unsigned 64-bit number of up to 16 hex digits. */
    static long hex(String key, String text) throws ConfigException {
        try {
            if (text.startsWith("+") || text.startsWith("-")) {
                throw new NumberFormatException();
            }
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException(key, "up to 16 hex digits, got " + text);
        }
    }

    private static InetSocketAddress optional(Json root, String key) throws ConfigException {
        return root.has(key) ? address(key, root.string(key, null)) : null;
    }

    /** Parses an IPv4 address and a port; host names are rejected, so there is no name lookup. */
    static InetSocketAddress address(String key, String text) throws ConfigException {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        try {
            String host = text.substring(0, colon);
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host.matches("(\\d{1,3}\\.){3}\\d{1,3}")) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (IOException | RuntimeException e) {
            // Reported below.
        }
        throw new ConfigException(key, "an IPv4 address and a port, got " + text);
    }

    private static Notice notice(Json json, Settings settings) throws ConfigException {
        if (json.has("pool")) {
            Json pool = json.object("pool");
            List<ListedEndpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < pool.array("instances").size(); i++) {
                endpoints.add(endpoint(pool.item("instances", i), settings));
            }
            return new Notice(pool.bool("reset", false), endpoints, null, 0, 0);
        }
        Json flush = json.object("flush");
        Long object = flush.has("asset") ? hex("known.flush.asset", flush.string("asset", "")) : null;
        return new Notice(
                false, null, object, flush.integer("collection", 0), flush.integer("ms", 0, 0, Long.MAX_VALUE / 4_000));
    }

    private static ListedEndpoint endpoint(Json json, Settings settings) throws ConfigException {
        String id = json.string("instanceId", "");
        InetSocketAddress address = address("instances.hostPort", json.string("hostPort", null));
        EndpointState state = switch (json.string("lifecycle", "")) {
            case "active" -> EndpointState.READY;
            case "leaving" -> EndpointState.DRAINING;
            case "left" -> EndpointState.REMOVED;
            default -> throw json.invalid("lifecycle", "active, leaving or left");
        };
        return new ListedEndpoint(
                EndpointInfo.builder(
                                hex("instances.instanceId", id.startsWith("s-") ? id.substring(2) : id),
                                settings.machineTypes().indexOf(json.string("machineType", "")),
                                settings.zones().indexOf(json.string("zone", "")))
                        .startedUs(json.integer("startedAtMs", 0, 0, Long.MAX_VALUE / 4_000) * 1000)
                        .weight(json.number("weight", 1))
                        .state(state)
                        .cell(json.integer("cell", 0))
                        .build(),
                Ipv4.toInt(address),
                address.getPort());
    }
}
