package magpiewheel.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that the settings accept all combinations of valid values, and that an invalid value prevents the start. */
public class SettingsTest {
    private static final String SITE = """
            {"azs":["hub","office"],"machine_types":["small","large","parent","origin"],"me":0,"instances":2,"zone":1,
             "discovery":"automatic","weight_source":"rough",
             "extra":{"parent_kind":2,"store_kind":3,"sideways":"any","detail":"hit","joins":true,
              "class_write":[false,true],"good_for_us":[5000000,0]},
             "limits":{"max_attempts":6,"may_duplicate":true,"cancel":true},
             "rules":{"drain_grace_us":2000000},
             "profiles":[{"name":"page","goal_time_us":400000,"deadline_us":3000000},
              {"name":"handover","goal_time_us":800000,"deadline_us":3000000,"effect":"token","key_scope":"all",
               "repeat_window_us":3000000}]}""";

    private static JsonObject site() {
        return JsonParser.parseString(SITE).getAsJsonObject();
    }

    /** Returns the object that contains the last key of a path such as {@code profiles.1.effect}. */
    private static JsonObject parentOf(JsonObject root, String[] path) {
        JsonElement at = root;
        for (int i = 0; i + 1 < path.length; i++) {
            at = at.isJsonArray()
                    ? at.getAsJsonArray().get(Integer.parseInt(path[i]))
                    : at.getAsJsonObject().get(path[i]);
        }
        return at.getAsJsonObject();
    }

    /** Returns the settings with the value at a path replaced by the given JSON; null removes the key. */
    private static String with(String path, String value) {
        JsonObject root = site();
        String[] keys = path.split("\\.");
        JsonObject parent = parentOf(root, keys);
        String last = keys[keys.length - 1];
        if (value == null) {
            parent.remove(last);
        } else {
            parent.add(last, JsonParser.parseString(value));
        }
        return root.toString();
    }

    @DataProvider
    Object[][] invalidValues() {
        return new Object[][] {
            {"extra.sideways", "\"moon\"", "extra.sideways"},
            {"extra.detail", "\"most\"", "extra.detail"},
            {"weight_source", "\"heavy\"", "weight_source"},
            {"profiles.1.effect", "\"rare\"", "profiles[1].effect"},
            {"profiles.1.key_scope", "\"world\"", "profiles[1].key_scope"},
            {"profiles.1.repeat_window_us", null, "profiles[1].repeat_window_us"},
            {"profiles.0.deadline_us", null, "profiles[0].deadline_us"},
            {"profiles.0.deadline_us", "-5", "profiles[0].deadline_us"},
            {"profiles.0.goal_time_us", "0", "profiles[0].goal_time_us"},
            {"profiles", "[]", "profiles"},
            {"extra.parent_kind", "4", "extra.parent_kind"},
            {"extra.store_kind", "-2", "extra.store_kind"},
            {"limits.max_attempts", null, "limits.max_attempts"},
            {"limits.max_attempts", "0", "limits.max_attempts"},
            {"limits.may_duplicate", "1", "limits.may_duplicate"},
            {"rules.drain_grace_us", null, "rules.drain_grace_us"},
            {"me", "2", "me"}
        };
    }

    /** Parses and checks the settings as a router does at its start. */
    private static Settings parseAndCheck(String text) throws ConfigException {
        Json root = Json.parse(text, "settings");
        Settings settings = Settings.of(root);
        RequiredSettings.check(root, settings.routing().requestClasses());
        return settings;
    }

    /** The error is a single line that starts with the key. */
    @Test(dataProvider = "invalidValues")
    public void invalidValueIsReportedWithItsKey(String path, String value, String key) {
        String text = with(path, value);
        String message =
                expectThrows(ConfigException.class, () -> parseAndCheck(text)).getMessage();
        assertEquals(message.split("[: ]")[0], key, message);
        assertEquals(message.lines().count(), 1);
    }

    /** The build creates the class archive with this file; if rejected, the archive would lack the serving classes. */
    @Test
    public void trainingConfigurationIsValid() throws Exception {
        RouterConfig config = RouterConfig.read(Map.of("GW_CONFIG", "deploy/train.json"));
        assertEquals(config.settings().classes(), List.of("v"));
    }

    @DataProvider
    Object[][] validCombinations() {
        List<Object[]> all = new ArrayList<>();
        for (String siblings : List.of("off", "location", "any")) {
            for (String detail : List.of("off", "hit", "all")) {
                for (String effect : List.of("pure", "token", "side_effect")) {
                    for (boolean flag : new boolean[] {false, true}) {
                        all.add(new Object[] {siblings, detail, effect, flag});
                    }
                }
            }
        }
        return all.toArray(Object[][]::new);
    }

    /** All combinations of the values of both deployments are accepted, and the parsed settings match them. */
    @Test(dataProvider = "validCombinations")
    public void allCombinationsOfValidValuesAreAccepted(String siblings, String detail, String effect, boolean flag)
            throws Exception {
        JsonObject root = site();
        root.getAsJsonObject("extra").addProperty("sideways", siblings);
        root.getAsJsonObject("extra").addProperty("detail", detail);
        root.getAsJsonObject("extra").addProperty("joins", flag);
        root.getAsJsonObject("extra").addProperty("may_pass_by", !flag);
        root.getAsJsonObject("limits").addProperty("may_duplicate", flag);
        root.getAsJsonArray("profiles").get(1).getAsJsonObject().addProperty("effect", effect);
        Settings settings = parseAndCheck(root.toString());
        assertEquals(settings.routing().siblingFills().name().toLowerCase(Locale.ROOT), siblings);
        assertEquals(settings.routing().detailedCacheStatus(), detail.equals("all"));
        assertEquals(settings.routing().cachesJoinFills(), flag);
        assertEquals(settings.routing().mayBypassCaches(), !flag);
        assertEquals(settings.routing().limits().mayHedge(), flag);
        assertEquals(
                settings.routing().requestClasses().get(1).idempotency().name(),
                effect.equals("token") ? "KEYED" : effect.equals("pure") ? "IDEMPOTENT" : "NOT_IDEMPOTENT");
    }
}
