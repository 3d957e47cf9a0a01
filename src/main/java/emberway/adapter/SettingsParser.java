package emberway.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import emberway.Director;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Turns the settings JSON into {@link Director.Settings}; keys it does not know are passed over. */
final class SettingsParser {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private final JsonNode root;

    private SettingsParser(JsonNode root) {
        this.root = root;
    }

    static Director.Settings parse(byte[] text) throws IOException {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new FrameReader.MalformedInput("settings are not JSON: " + e.getOriginalMessage());
        }
        if (!root.isObject()) {
            throw new FrameReader.MalformedInput("settings are not a JSON object");
        }
        return new SettingsParser(root).settings();
    }

    private Director.Settings settings() throws IOException {
        JsonNode extra = group(root, "extra");
        return new Director.Settings(place(extra), profiles(extra), tenants(),
                number(root, "over_share_worth", 1), limits(), guards(extra),
                choice(root, "discovery", "automatic").equals("subscribe"),
                siblings(choice(extra, "sideways", "off")), flag(extra, "joins", false),
                flag(extra, "may_pass_by", false), choice(extra, "detail", "off").equals("all"),
                weight(choice(root, "weight_source", "off")), gauges(extra));
    }

    private Director.Place place(JsonNode extra) throws IOException {
        int zones = root.path("azs").size();
        return new Director.Place(whole(root, "me", 0), whole(root, "instances", 1), whole(root, "zone", 0),
                wholes(extra, "instances_by_zone", zones), wholes(extra, "attached_to", zones),
                numbers(extra, "inlet_kb_per_s", zones), whole(extra, "parent_kind", -1),
                whole(extra, "store_kind", -1), number(extra, "one_flow_kb_per_s", 0));
    }

    private Director.Limits limits() throws IOException {
        JsonNode at = group(root, "limits");
        return new Director.Limits(flag(at, "cancel", false), flag(at, "may_duplicate", false),
                flag(at, "peers", false), flag(at, "probes", false), flag(at, "retry_after", false),
                whole(at, "max_attempts", 1), whole(at, "max_open", Integer.MAX_VALUE),
                micros(at, "max_retry_after_us"), micros(at, "dial_timeout_us"));
    }

    private Director.Guards guards(JsonNode extra) throws IOException {
        JsonNode at = group(root, "rules");
        return new Director.Guards(micros(at, "drain_grace_us"), micros(extra, "notice_time_us"),
                micros(extra, "cleared_within_us"), number(at, "cold_from", 0), micros(at, "warm_up_us"),
                number(at, "tip_multiple", 0), micros(at, "tip_after_us"),
                number(extra, "parent_starts_at", 0), micros(extra, "parent_cold_us"),
                number(extra, "upper_fall_multiple", 0),
                number(extra, "root_fall_multiple", 0), micros(extra, "root_fall_us"),
                micros(at, "ask_within_us"), micros(at, "grace_to_answer_us"));
    }

    private List<Director.Profile> profiles(JsonNode extra) throws IOException {
        List<Director.Profile> all = new ArrayList<>();
        for (JsonNode at : root.path("profiles")) {
            int i = all.size();
            all.add(new Director.Profile(micros(at, "goal_time_us"), number(at, "aim_stretch", 0),
                    micros(at, "deadline_us"), number(at, "worth", 1), number(at, "late_worth", 0),
                    effect(choice(at, "effect", "pure")), scope(choice(at, "key_scope", "all")),
                    micros(at, "repeat_window_us"), flag(at, "stream", false),
                    extra.path("class_write").path(i).asBoolean(false),
                    extra.path("in_pieces").path(i).asBoolean(false),
                    extra.path("good_for_us").path(i).asLong(0),
                    extra.path("class_grace_us").path(i).asLong(0),
                    extra.path("aged_worth").path(i).asDouble(1)));
        }
        if (all.isEmpty()) {
            throw new FrameReader.MalformedInput("settings name no profiles");
        }
        return List.copyOf(all);
    }

    private List<Director.Tenant> tenants() throws IOException {
        List<Director.Tenant> all = new ArrayList<>();
        for (JsonNode at : root.path("tenants")) {
            all.add(new Director.Tenant(number(at, "quota_per_s", 0), number(at, "portion", 0)));
        }
        return List.copyOf(all);
    }

    private List<Director.Gauge> gauges(JsonNode extra) throws IOException {
        List<Director.Gauge> all = new ArrayList<>();
        for (JsonNode name : root.path("load_report").path("names")) {
            all.add(Wire.gauge(name.asText(), choice(extra, "report_x0", ""),
                    choice(extra, "report_x1", "")));
        }
        return List.copyOf(all);
    }

    private static Director.Siblings siblings(String word) throws IOException {
        return switch (word) {
            case "off" -> Director.Siblings.OFF;
            case "location" -> Director.Siblings.LOCATION;
            case "any" -> Director.Siblings.ANY;
            default -> throw unknown("sideways", word);
        };
    }

    private static Director.Weight weight(String word) throws IOException {
        return switch (word) {
            case "off" -> Director.Weight.OFF;
            case "nominal" -> Director.Weight.NOMINAL;
            case "rough" -> Director.Weight.ROUGH;
            case "live" -> Director.Weight.LIVE;
            default -> throw unknown("weight_source", word);
        };
    }

    private static Director.Effect effect(String word) throws IOException {
        return switch (word) {
            case "pure" -> Director.Effect.PURE;
            case "token" -> Director.Effect.KEYED;
            case "side_effect" -> Director.Effect.UNSAFE;
            default -> throw unknown("effect", word);
        };
    }

    private static Director.KeyScope scope(String word) throws IOException {
        return switch (word) {
            case "all" -> Director.KeyScope.ALL;
            case "zone" -> Director.KeyScope.ZONE;
            case "cell" -> Director.KeyScope.CELL;
            default -> throw unknown("key_scope", word);
        };
    }

    private static IOException unknown(String key, String word) {
        return new FrameReader.MalformedInput("settings: " + key + " has the unknown value '" + word + "'");
    }

    private static IOException wrong(String key) {
        return new FrameReader.MalformedInput("settings: " + key + " has a wrong type or range");
    }

    private static JsonNode group(JsonNode at, String key) throws IOException {
        JsonNode value = at.path(key);
        if (!value.isObject() && !value.isMissingNode()) {
            throw wrong(key);
        }
        return value;
    }

    private static double number(JsonNode at, String key, double absent) throws IOException {
        JsonNode value = at.path(key);
        if (value.isMissingNode() || value.isNull()) {
            return absent;
        }
        if (!value.isNumber()) {
            throw wrong(key);
        }
        return value.asDouble();
    }

    private static long micros(JsonNode at, String key) throws IOException {
        double value = number(at, key, 0);
        if (value < 0 || value > Long.MAX_VALUE / 4.0) {
            throw wrong(key);
        }
        return (long) value;
    }

    private static int whole(JsonNode at, String key, int absent) throws IOException {
        double value = number(at, key, absent);
        if (value < -1 || value > Integer.MAX_VALUE) {
            throw wrong(key);
        }
        return (int) value;
    }

    private static boolean flag(JsonNode at, String key, boolean absent) throws IOException {
        JsonNode value = at.path(key);
        if (value.isMissingNode() || value.isNull()) {
            return absent;
        }
        if (!value.isBoolean()) {
            throw wrong(key);
        }
        return value.asBoolean();
    }

    private static String choice(JsonNode at, String key, String absent) throws IOException {
        JsonNode value = at.path(key);
        if (value.isMissingNode() || value.isNull()) {
            return absent;
        }
        if (!value.isTextual()) {
            throw wrong(key);
        }
        return value.asText();
    }

    private static double[] numbers(JsonNode at, String key, int zones) throws IOException {
        JsonNode value = at.path(key);
        double[] all = new double[Math.max(zones, value.size())];
        for (int i = 0; i < value.size(); i++) {
            if (!value.get(i).isNumber()) {
                throw wrong(key);
            }
            all[i] = value.get(i).asDouble();
        }
        return all;
    }

    private static int[] wholes(JsonNode at, String key, int zones) throws IOException {
        double[] from = numbers(at, key, zones);
        int[] all = new int[from.length];
        for (int i = 0; i < all.length; i++) {
            all[i] = (int) from[i];
        }
        return all;
    }
}
