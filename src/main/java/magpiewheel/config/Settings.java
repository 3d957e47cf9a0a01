package magpiewheel.config;

import com.google.gson.JsonElement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import magpiewheel.region.SlowStartProfile;
import magpiewheel.routing.Idempotency;
import magpiewheel.routing.IdempotencyKeyScope;
import magpiewheel.routing.LoadMetric;
import magpiewheel.routing.RequestClass;
import magpiewheel.routing.RequestLimits;
import magpiewheel.routing.RouterTopology;
import magpiewheel.routing.RoutingSettings;
import magpiewheel.routing.SafetyLimits;
import magpiewheel.routing.SiblingFills;
import magpiewheel.routing.Tenant;
import magpiewheel.routing.WeightSource;

/**
 * The settings of a router instance, for the routing module and for the server around it; unknown keys are ignored. The
 * lists of names map the names used in requests and endpoint lists to the indexes that the routing module uses.
 */
public record Settings(
        RoutingSettings routing,
        List<String> classes,
        List<String> zones,
        List<String> machineTypes,
        long idleCloseUs) {
    /** Limited by the field size in the routers' datagrams. */
    private static final int MAX_INSTANCES = 65_535;

    private static final int MAX_ZONE = 254;
    private static final Map<String, SiblingFills> SIBLING_FILLS =
            Map.of("off", SiblingFills.OFF, "location", SiblingFills.LOCATION, "any", SiblingFills.ANY);
    /** Whether responses carry the detailed cache status. */
    private static final Map<String, Boolean> CACHE_STATUS_DETAIL = Map.of("all", true, "hit", false, "off", false);

    private static final Map<String, WeightSource> WEIGHT_SOURCES = Map.of(
            "off",
            WeightSource.OFF,
            "nominal",
            WeightSource.NOMINAL,
            "rough",
            WeightSource.ROUGH,
            "live",
            WeightSource.LIVE);
    private static final Map<String, Idempotency> IDEMPOTENCY = Map.of(
            "pure", Idempotency.IDEMPOTENT, "token", Idempotency.KEYED, "side_effect", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, IdempotencyKeyScope> KEY_SCOPES =
            Map.of("all", IdempotencyKeyScope.ALL, "zone", IdempotencyKeyScope.ZONE, "cell", IdempotencyKeyScope.CELL);
    private static final Map<String, LoadMetric> LOAD_METRICS = Map.of(
            "concurrent",
            LoadMetric.IN_FLIGHT,
            "depth",
            LoadMetric.QUEUED,
            "load_share",
            LoadMetric.UTILIZATION,
            "mean_ms",
            LoadMetric.MEAN_LATENCY_MS,
            "tps",
            LoadMetric.RATE,
            "err_ps",
            LoadMetric.ERROR_RATE,
            "x0 share of hits",
            LoadMetric.HIT_RATIO,
            "x1 a cache: transfers",
            LoadMetric.LINK_UTILIZATION);

    /**
     * Parses the settings from JSON.
     *
     * @throws ConfigException names the first invalid key
     */
    public static Settings parse(String text) throws ConfigException {
        return of(Json.parse(text, "settings"));
    }

    static Settings of(Json root) throws ConfigException {
        Json extra = root.object("extra");
        RoutingSettings routing = RoutingSettings.builder(
                        topology(root, extra),
                        requestClasses(root, extra),
                        limits(root.object("limits")),
                        safetyLimits(root.object("rules"), extra))
                .tenants(tenants(root))
                .overQuotaPriorityWeight(root.number("over_share_worth", 1))
                .mustSubscribe(root.string("discovery", "automatic").equals("subscribe"))
                .siblingFills(choice(extra, "sideways", "off", SIBLING_FILLS))
                .cachesJoinFills(extra.bool("joins", false))
                .mayBypassCaches(extra.bool("may_pass_by", false))
                .detailedCacheStatus(choice(extra, "detail", "off", CACHE_STATUS_DETAIL))
                .weightSource(choice(root, "weight_source", "off", WEIGHT_SOURCES))
                .loadMetrics(loadMetrics(root.object("load_report"), extra))
                .build();
        List<String> classes = new ArrayList<>();
        for (int i = 0; i < routing.requestClasses().size(); i++) {
            classes.add(root.item("profiles", i).string("name", Integer.toString(i)));
        }
        return new Settings(
                routing,
                List.copyOf(classes),
                names(root, "azs"),
                names(root, "machine_types"),
                root.object("limits").micros("idle_close_us"));
    }

    private static RouterTopology topology(Json root, Json extra) throws ConfigException {
        int zones = root.array("azs").size();
        int instances = (int) root.integer("instances", 1, 1, MAX_INSTANCES);
        return RouterTopology.builder((int) root.integer("me", 0, 0, instances - 1), instances, (int)
                        root.integer("zone", 0, -1, MAX_ZONE))
                .routersByZone(integers(extra, "instances_by_zone", zones))
                .hubByZone(extra.has("attached_to") ? integers(extra, "attached_to", zones) : new int[0])
                .linkKbPerSByZone(extra.numbers("inlet_kb_per_s", zones))
                .parentKind(machineType(root, extra, "parent_kind"))
                .originKind(machineType(root, extra, "store_kind"))
                .transferKbPerS(extra.number("one_flow_kb_per_s", 0))
                .build();
    }

    /** Returns an index into the machine types, or -1 if the key is absent. */
    private static int machineType(Json root, Json extra, String key) throws ConfigException {
        int types = root.array("machine_types").size();
        return (int) extra.integer(key, -1, -1, types == 0 ? Integer.MAX_VALUE : types - 1);
    }

    private static RequestLimits limits(Json json) throws ConfigException {
        return RequestLimits.builder(json.integer("max_attempts", 1))
                .mayCancel(json.bool("cancel", false))
                .mayHedge(json.bool("may_duplicate", false))
                .mayMessagePeers(json.bool("peers", false))
                .mayCheckHealth(json.bool("probes", false))
                .maySendRetryAfter(json.bool("retry_after", false))
                .maxInFlight(json.integer("max_open", Integer.MAX_VALUE))
                .maxRetryAfterUs(json.micros("max_retry_after_us"))
                .connectTimeoutUs(json.micros("dial_timeout_us"))
                .build();
    }

    private static SafetyLimits safetyLimits(Json json, Json extra) throws ConfigException {
        long drainNoticeUs = json.micros("drain_grace_us");
        long purgeNoticeUs = extra.micros("notice_time_us");
        long purgeCompletionUs = extra.micros("cleared_within_us");
        SlowStartProfile cache = new SlowStartProfile(
                json.number("cold_from", 0),
                json.micros("warm_up_us"),
                json.number("tip_multiple", 0),
                json.micros("tip_after_us"));
        SlowStartProfile parent = new SlowStartProfile(
                extra.number("parent_starts_at", 0),
                extra.micros("parent_cold_us"),
                extra.number("upper_fall_multiple", 0),
                cache.overloadWindowUs());
        checkUnused(json, extra);
        return new SafetyLimits(drainNoticeUs, purgeNoticeUs, purgeCompletionUs, cache, parent);
    }

    /** Checks the types of keys that no decision uses: a wrong type is an error for these, too. */
    private static void checkUnused(Json json, Json extra) throws ConfigException {
        extra.number("root_fall_multiple", 0);
        extra.micros("root_fall_us");
        json.micros("ask_within_us");
        json.micros("grace_to_answer_us");
    }

    private static List<RequestClass> requestClasses(Json root, Json extra) throws ConfigException {
        List<RequestClass> all = new ArrayList<>();
        int count = root.array("profiles").size();
        double[] fresh = extra.numbers("good_for_us", count);
        double[] grace = extra.numbers("class_grace_us", count);
        double[] aged = extra.has("aged_worth") ? extra.numbers("aged_worth", count) : null;
        for (int i = 0; i < count; i++) {
            Json json = root.item("profiles", i);
            all.add(RequestClass.builder(json.micros("goal_time_us"), json.micros("deadline_us"))
                    .transferTimeFactor(json.number("aim_stretch", 0))
                    .priorityWeight(json.number("worth", 1))
                    .latePriorityWeight(json.number("late_worth", 0))
                    .idempotency(choice(json, "effect", "pure", IDEMPOTENCY))
                    .keyScope(choice(json, "key_scope", "all", KEY_SCOPES))
                    .idempotencyWindowUs(json.micros("repeat_window_us"))
                    .streaming(json.bool("stream", false))
                    .write(extra.boolAt("class_write", i))
                    .multipart(extra.boolAt("in_pieces", i))
                    .freshUs((long) fresh[i])
                    .staleGraceUs((long) grace[i])
                    .stalePriorityWeight(aged == null ? 1 : aged[i])
                    .build());
        }
        if (all.isEmpty()) {
            throw root.invalid("profiles", "at least one class");
        }
        return List.copyOf(all);
    }

    private static List<Tenant> tenants(Json root) throws ConfigException {
        List<Tenant> all = new ArrayList<>();
        for (int i = 0; i < root.array("tenants").size(); i++) {
            Json json = root.item("tenants", i);
            all.add(new Tenant(json.number("quota_per_s", 0), json.number("portion", 0)));
        }
        return List.copyOf(all);
    }

    /** Returns the metrics of the load report; the settings describe the meaning of x0 and x1 in text. */
    private static List<LoadMetric> loadMetrics(Json report, Json extra) throws ConfigException {
        List<LoadMetric> all = new ArrayList<>();
        for (String name : names(report, "names")) {
            String metricName = name.startsWith("x") ? name + " " + extra.string("report_" + name, "") : name;
            all.add(LOAD_METRICS.entrySet().stream()
                    .filter(e -> metricName.startsWith(e.getKey()))
                    .map(Map.Entry::getValue)
                    .findFirst()
                    .orElse(LoadMetric.UNKNOWN));
        }
        return List.copyOf(all);
    }

    private static <T> T choice(Json json, String key, String defaultValue, Map<String, T> valuesByName)
            throws ConfigException {
        T found = valuesByName.get(json.string(key, defaultValue));
        if (found == null) {
            throw json.invalid(
                    key,
                    "one of "
                            + String.join(
                                    ", ",
                                    valuesByName.keySet().stream().sorted().toList()));
        }
        return found;
    }

    private static List<String> names(Json json, String key) throws ConfigException {
        List<String> all = new ArrayList<>();
        for (JsonElement name : json.array(key)) {
            if (!name.isJsonPrimitive()) {
                throw json.invalid(key, "a list of names");
            }
            all.add(name.getAsString());
        }
        return List.copyOf(all);
    }

    private static int[] integers(Json json, String key, int minLength) throws ConfigException {
        double[] from = json.numbers(key, minLength);
        int[] all = new int[from.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = (int) from[i];
        }
        return all;
    }
}
