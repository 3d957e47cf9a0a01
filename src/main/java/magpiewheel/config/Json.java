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

/**
 * Typed access to a JSON object. An absent or null key gives the default value; a wrong type is an error that names the
 * key.
 */
final class Json {
    private static final Gson GSON =
            new GsonBuilder().setStrictness(Strictness.STRICT).create();
    /** Maximum time in us: longer than any real time, and small enough that a few can be added without overflow. */
    private static final long MAX_US = Long.MAX_VALUE / 4;

    private final JsonObject object;
    private final String path;

    private Json(JsonObject object, String path) {
        this.object = object;
        this.path = path;
    }

    static Json parse(String text, String source) throws ConfigException {
        try {
            TypeAdapter<JsonElement> adapter = GSON.getAdapter(JsonElement.class);
            JsonElement root = adapter.fromJson(text);
            if (root == null || !root.isJsonObject()) {
                throw new ConfigException(source, "a JSON object");
            }
            return new Json(root.getAsJsonObject(), "");
        } catch (IOException | JsonParseException e) {
            throw new ConfigException(source, "JSON: " + e.getMessage());
        }
    }

    Json object(String key) throws ConfigException {
        JsonElement value = get(key);
        if (value == null) {
            return new Json(new JsonObject(), path + key + ".");
        }
        if (!value.isJsonObject()) {
            throw invalid(key, "an object");
        }
        return new Json(value.getAsJsonObject(), path + key + ".");
    }

    JsonArray array(String key) throws ConfigException {
        JsonElement value = get(key);
        if (value == null) {
            return new JsonArray();
        }
        if (!value.isJsonArray()) {
            throw invalid(key, "a list");
        }
        return value.getAsJsonArray();
    }

    Json item(String key, int i) throws ConfigException {
        JsonElement value = array(key).get(i);
        if (!value.isJsonObject()) {
            throw invalid(key + "[" + i + "]", "an object");
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

    double number(String key, double defaultValue) throws ConfigException {
        JsonPrimitive value = primitive(key, "a number");
        if (value != null && !value.isNumber()) {
            throw invalid(key, "a number");
        }
        return value == null ? defaultValue : value.getAsDouble();
    }

    /** Returns a 64-bit integer. It is not read as a double, which would round values above 2^53. */
    long integer(String key, long defaultValue, long min, long max) throws ConfigException {
        double value = number(key, defaultValue);
        if (!(value >= min && value <= max)) {
            throw invalid(key, "a number from " + min + " to " + max);
        }
        try {
            return get(key) == null ? defaultValue : get(key).getAsBigDecimal().longValue();
        } catch (NumberFormatException e) {
            throw invalid(key, "a number");
        }
    }

    int integer(String key, int defaultValue) throws ConfigException {
        return (int) integer(key, defaultValue, -1, Integer.MAX_VALUE);
    }

    /** Returns a time in us; 0 if the key is absent. */
    long micros(String key) throws ConfigException {
        return integer(key, 0, 0, MAX_US);
    }

    /** Returns a required time in us, greater than 0. */
    long positiveMicros(String key) throws ConfigException {
        return integer(key, 0, 1, MAX_US);
    }

    boolean bool(String key, boolean defaultValue) throws ConfigException {
        JsonPrimitive value = primitive(key, "true or false");
        if (value != null && !value.isBoolean()) {
            throw invalid(key, "true or false");
        }
        return value == null ? defaultValue : value.getAsBoolean();
    }

    String string(String key, String defaultValue) throws ConfigException {
        JsonPrimitive value = primitive(key, "text");
        if (value != null && !value.isString()) {
            throw invalid(key, "text");
        }
        return value == null ? defaultValue : value.getAsString();
    }

    private JsonPrimitive primitive(String key, String expected) throws ConfigException {
        JsonElement value = get(key);
        if (value != null && !value.isJsonPrimitive()) {
            throw invalid(key, expected);
        }
        return value == null ? null : value.getAsJsonPrimitive();
    }

    /** Returns a list of numbers, padded with 0 to {@code minLength}. */
    double[] numbers(String key, int minLength) throws ConfigException {
        JsonArray from = array(key);
        double[] all = new double[Math.max(minLength, from.size())];
        for (int i = 0; i < from.size(); i++) {
            if (!from.get(i).isJsonPrimitive()
                    || !from.get(i).getAsJsonPrimitive().isNumber()) {
                throw invalid(key + "[" + i + "]", "a number");
            }
            all[i] = from.get(i).getAsDouble();
        }
        return all;
    }

    boolean boolAt(String key, int index) throws ConfigException {
        JsonArray from = array(key);
        return index < from.size()
                && from.get(index).isJsonPrimitive()
                && from.get(index).getAsBoolean();
    }

    /** Returns the key with its path from the root. */
    String fullName(String key) {
        return path + key;
    }

    ConfigException invalid(String key, String expected) {
        return new ConfigException(path + key, expected);
    }
}
