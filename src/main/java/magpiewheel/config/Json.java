package magpiewheel.config;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.TypeAdapter;
import java.io.IOException;

/** Typed looks into a JSON object. Absent and null keys give the default; a wrong type names its key. */
final class Json {
    private static final Gson GSON =
            new GsonBuilder().setStrictness(Strictness.STRICT).create();
    /** us; far beyond any time, and still without an overflow when some are added up. */
    private static final long MOST_US = Long.MAX_VALUE / 4;

    private final JsonObject object;
    private final String path;

    private Json(JsonObject object, String path) {
        this.object = object;
        this.path = path;
    }

    static Json parse(String text, String what) throws ConfigException {
        try {
            TypeAdapter<JsonElement> adapter = GSON.getAdapter(JsonElement.class);
            JsonElement root = adapter.fromJson(text);
            if (root == null || !root.isJsonObject()) {
                throw new ConfigException(what, "a JSON object");
            }
            return new Json(root.getAsJsonObject(), "");
        } catch (IOException | JsonParseException e) {
            throw new ConfigException(what, "JSON: " + e.getMessage());
        }
    }

    Json group(String key) throws ConfigException {
        JsonElement value = get(key);
        if (value == null) {
            return new Json(new JsonObject(), path + key + ".");
        }
        if (!value.isJsonObject()) {
            throw wrong(key, "an object");
        }
        return new Json(value.getAsJsonObject(), path + key + ".");
    }

    JsonArray array(String key) throws ConfigException {
        JsonElement value = get(key);
        if (value == null) {
            return new JsonArray();
        }
        if (!value.isJsonArray()) {
            throw wrong(key, "a list");
        }
        return value.getAsJsonArray();
    }

    Json item(String key, int i) throws ConfigException {
        JsonElement value = array(key).get(i);
        if (!value.isJsonObject()) {
            throw wrong(key + "[" + i + "]", "an object");
        }
        return new Json(value.getAsJsonObject(), path + key + "[" + i + "].");
    }

    private JsonElement get(String key) {
        JsonElement value = object.get(key);
        return value == null || value.isJsonNull() ? null : value;
    }

    boolean has(String key) {
        return get(key) != null;
    }

    Iterable<String> keys() {
        return object.keySet();
    }

    double number(String key, double absent) throws ConfigException {
        JsonPrimitive value = primitive(key, "a number");
        if (value != null && !value.isNumber()) {
            throw wrong(key, "a number");
        }
        return value == null ? absent : value.getAsDouble();
    }

    /** A whole number of any size that 64 bits hold; a double would round what lies past 2^53. */
    long whole(String key, long absent, long least, long most) throws ConfigException {
        double value = number(key, absent);
        if (!(value >= least && value <= most)) {
            throw wrong(key, "a number from " + least + " to " + most);
        }
        try {
            return get(key) == null ? absent : get(key).getAsBigDecimal().longValue();
        } catch (NumberFormatException e) {
            throw wrong(key, "a number");
        }
    }

    int whole(String key, int absent) throws ConfigException {
        return (int) whole(key, absent, -1, Integer.MAX_VALUE);
    }

    /** A time in us; 0 where it is not told. */
    long micros(String key) throws ConfigException {
        return whole(key, 0, 0, MOST_US);
    }

    /** A time in us that has to be told, and is longer than none. */
    long span(String key) throws ConfigException {
        return whole(key, 0, 1, MOST_US);
    }

    boolean flag(String key, boolean absent) throws ConfigException {
        JsonPrimitive value = primitive(key, "true or false");
        if (value != null && !value.isBoolean()) {
            throw wrong(key, "true or false");
        }
        return value == null ? absent : value.getAsBoolean();
    }

    String text(String key, String absent) throws ConfigException {
        JsonPrimitive value = primitive(key, "text");
        if (value != null && !value.isString()) {
            throw wrong(key, "text");
        }
        return value == null ? absent : value.getAsString();
    }

    private JsonPrimitive primitive(String key, String wanted) throws ConfigException {
        JsonElement value = get(key);
        if (value != null && !value.isJsonPrimitive()) {
            throw wrong(key, wanted);
        }
        return value == null ? null : value.getAsJsonPrimitive();
    }

    /** Numbers by place; what is not listed is 0. */
    double[] numbers(String key, int least) throws ConfigException {
        JsonArray from = array(key);
        double[] all = new double[Math.max(least, from.size())];
        for (int i = 0; i < from.size(); i++) {
            if (!from.get(i).isJsonPrimitive()
                    || !from.get(i).getAsJsonPrimitive().isNumber()) {
                throw wrong(key + "[" + i + "]", "a number");
            }
            all[i] = from.get(i).getAsDouble();
        }
        return all;
    }

    boolean flagAt(String key, int place) throws ConfigException {
        JsonArray from = array(key);
        return place < from.size()
                && from.get(place).isJsonPrimitive()
                && from.get(place).getAsBoolean();
    }

    /** The key with the path to it. */
    String name(String key) {
        return path + key;
    }

    ConfigException wrong(String key, String wanted) {
        return new ConfigException(path + key, wanted);
    }
}
