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
 * The settings that an instance is given, for the module and for the fronts; keys not known here are passed over. The
 * names are what requests and the list use where the module has numbers.
 */
public record Settings(
        RoutingSettings module, List<String> classes, List<String> zones, List<String> kinds, long idleCloseUs) {
    /** What has room in the fronts' datagrams. */
    private static final int MOST_INSTANCES = 65_535;

    private static final int MOST_ZONE = 254;
    private static final Map<String, SiblingFills> SIBLINGS =
            Map.of("off", SiblingFills.OFF, "location", SiblingFills.LOCATION, "any", SiblingFills.ANY);
    /** Whether the notes of answers tell all. */
    private static final Map<String, Boolean> NOTES = Map.of("all", true, "hit", false, "off", false);

    private static final Map<String, WeightSource> WEIGHTS = Map.of(
            "off",
            WeightSource.OFF,
            "nominal",
            WeightSource.NOMINAL,
            "rough",
            WeightSource.ROUGH,
            "live",
            WeightSource.LIVE);
    private static final Map<String, Idempotency> EFFECTS = Map.of(
            "pure", Idempotency.IDEMPOTENT, "token", Idempotency.KEYED, "side_effect", Idempotency.NOT_IDEMPOTENT);
    private static final Map<String, IdempotencyKeyScope> SCOPES =
            Map.of("all", IdempotencyKeyScope.ALL, "zone", IdempotencyKeyScope.ZONE, "cell", IdempotencyKeyScope.CELL);
    private static final Map<String, LoadMetric> GAUGES = Map.of(
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

    /** Reads them from their JSON. */
    public static Settings parse(String text) throws ConfigException {
        return of(Json.parse(text, "settings"));
    }

    static Settings of(Json root) throws ConfigException {
        Json extra = root.group("extra");
        RoutingSettings module = RoutingSettings.builder(
                        place(root, extra),
                        profiles(root, extra),
                        limits(root.group("limits")),
                        guards(root.group("rules"), extra))
                .tenants(tenants(root))
                .overQuotaPriorityWeight(root.number("over_share_worth", 1))
                .mustSubscribe(root.text("discovery", "automatic").equals("subscribe"))
                .siblingFills(choice(extra, "sideways", "off", SIBLINGS))
                .cachesJoinFills(extra.flag("joins", false))
                .mayBypassCaches(extra.flag("may_pass_by", false))
                .detailedCacheStatus(choice(extra, "detail", "off", NOTES))
                .weightSource(choice(root, "weight_source", "off", WEIGHTS))
                .loadMetrics(gauges(root.group("load_report"), extra))
                .build();
        List<String> classes = new ArrayList<>();
        for (int i = 0; i < module.requestClasses().size(); i++) {
            classes.add(root.item("profiles", i).text("name", Integer.toString(i)));
        }
        return new Settings(
                module,
                List.copyOf(classes),
                names(root, "azs"),
                names(root, "machine_types"),
                root.group("limits").micros("idle_close_us"));
    }

    private static RouterTopology place(Json root, Json extra) throws ConfigException {
        int zones = root.array("azs").size();
        int instances = (int) root.whole("instances", 1, 1, MOST_INSTANCES);
        return RouterTopology.builder((int) root.whole("me", 0, 0, instances - 1), instances, (int)
                        root.whole("zone", 0, -1, MOST_ZONE))
                .routersByZone(wholes(extra, "instances_by_zone", zones))
                .hubByZone(extra.has("attached_to") ? wholes(extra, "attached_to", zones) : new int[0])
                .linkKbPerSByZone(extra.numbers("inlet_kb_per_s", zones))
                .parentKind(kind(root, extra, "parent_kind"))
                .originKind(kind(root, extra, "store_kind"))
                .transferKbPerS(extra.number("one_flow_kb_per_s", 0))
                .build();
    }

    /** The place of a kind among the machine types, or -1 where there is none. */
    private static int kind(Json root, Json extra, String key) throws ConfigException {
        int types = root.array("machine_types").size();
        return (int) extra.whole(key, -1, -1, types == 0 ? Integer.MAX_VALUE : types - 1);
    }

    private static RequestLimits limits(Json at) throws ConfigException {
        return RequestLimits.builder(at.whole("max_attempts", 1))
                .mayCancel(at.flag("cancel", false))
                .mayHedge(at.flag("may_duplicate", false))
                .mayMessagePeers(at.flag("peers", false))
                .mayCheckHealth(at.flag("probes", false))
                .maySendRetryAfter(at.flag("retry_after", false))
                .maxInFlight(at.whole("max_open", Integer.MAX_VALUE))
                .maxRetryAfterUs(at.micros("max_retry_after_us"))
                .connectTimeoutUs(at.micros("dial_timeout_us"))
                .build();
    }

    private static SafetyLimits guards(Json at, Json extra) throws ConfigException {
        long drainNoticeUs = at.micros("drain_grace_us");
        long purgeNoticeUs = extra.micros("notice_time_us");
        long purgeCompletionUs = extra.micros("cleared_within_us");
        SlowStartProfile cache = new SlowStartProfile(
                at.number("cold_from", 0),
                at.micros("warm_up_us"),
                at.number("tip_multiple", 0),
                at.micros("tip_after_us"));
        SlowStartProfile parent = new SlowStartProfile(
                extra.number("parent_starts_at", 0),
                extra.micros("parent_cold_us"),
                extra.number("upper_fall_multiple", 0),
                cache.overloadWindowUs());
        checkUnused(at, extra);
        return new SafetyLimits(drainNoticeUs, purgeNoticeUs, purgeCompletionUs, cache, parent);
    }

    /** No decision needs these, but a wrong type among them is an error of the settings all the same. */
    private static void checkUnused(Json at, Json extra) throws ConfigException {
        extra.number("root_fall_multiple", 0);
        extra.micros("root_fall_us");
        at.micros("ask_within_us");
        at.micros("grace_to_answer_us");
    }

    private static List<RequestClass> profiles(Json root, Json extra) throws ConfigException {
        List<RequestClass> all = new ArrayList<>();
        int count = root.array("profiles").size();
        double[] fresh = extra.numbers("good_for_us", count);
        double[] grace = extra.numbers("class_grace_us", count);
        double[] aged = extra.has("aged_worth") ? extra.numbers("aged_worth", count) : null;
        for (int i = 0; i < count; i++) {
            Json at = root.item("profiles", i);
            all.add(RequestClass.builder(at.micros("goal_time_us"), at.micros("deadline_us"))
                    .transferTimeFactor(at.number("aim_stretch", 0))
                    .priorityWeight(at.number("worth", 1))
                    .latePriorityWeight(at.number("late_worth", 0))
                    .idempotency(choice(at, "effect", "pure", EFFECTS))
                    .keyScope(choice(at, "key_scope", "all", SCOPES))
                    .idempotencyWindowUs(at.micros("repeat_window_us"))
                    .streaming(at.flag("stream", false))
                    .write(extra.flagAt("class_write", i))
                    .multipart(extra.flagAt("in_pieces", i))
                    .freshUs((long) fresh[i])
                    .staleGraceUs((long) grace[i])
                    .stalePriorityWeight(aged == null ? 1 : aged[i])
                    .build());
        }
        if (all.isEmpty()) {
            throw root.wrong("profiles", "at least one class");
        }
        return List.copyOf(all);
    }

    private static List<Tenant> tenants(Json root) throws ConfigException {
        List<Tenant> all = new ArrayList<>();
        for (int i = 0; i < root.array("tenants").size(); i++) {
            Json at = root.item("tenants", i);
            all.add(new Tenant(at.number("quota_per_s", 0), at.number("portion", 0)));
        }
        return List.copyOf(all);
    }

    /** What x0 and x1 mean stands in the settings, in words. */
    private static List<LoadMetric> gauges(Json report, Json extra) throws ConfigException {
        List<LoadMetric> all = new ArrayList<>();
        for (String name : names(report, "names")) {
            String means = name.startsWith("x") ? name + " " + extra.text("report_" + name, "") : name;
            all.add(GAUGES.entrySet().stream()
                    .filter(e -> means.startsWith(e.getKey()))
                    .map(Map.Entry::getValue)
                    .findFirst()
                    .orElse(LoadMetric.UNKNOWN));
        }
        return List.copyOf(all);
    }

    private static <T> T choice(Json at, String key, String absent, Map<String, T> words) throws ConfigException {
        T found = words.get(at.text(key, absent));
        if (found == null) {
            throw at.wrong(
                    key,
                    "one of "
                            + String.join(", ", words.keySet().stream().sorted().toList()));
        }
        return found;
    }

    private static List<String> names(Json at, String key) throws ConfigException {
        List<String> all = new ArrayList<>();
        for (JsonElement name : at.array(key)) {
            if (!name.isJsonPrimitive()) {
                throw at.wrong(key, "a list of names");
            }
            all.add(name.getAsString());
        }
        return List.copyOf(all);
    }

    private static int[] wholes(Json at, String key, int least) throws ConfigException {
        double[] from = at.numbers(key, least);
        int[] all = new int[from.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = (int) from[i];
        }
        return all;
    }
}
