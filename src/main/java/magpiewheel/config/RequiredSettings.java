package magpiewheel.config;

import java.util.List;
import magpiewheel.routing.Idempotency;
import magpiewheel.routing.RequestClass;

/** Checks the settings that a router can't serve any request without. */
final class RequiredSettings {
    private RequiredSettings() {}

    /**
     * Checks the required keys.
     *
     * @throws ConfigException names the first key that is missing or has a value with which no request can be served
     */
    static void check(Json settings, List<RequestClass> classes) throws ConfigException {
        settings.object("limits").integer("max_attempts", 0, 1, Integer.MAX_VALUE);
        Json rules = settings.object("rules");
        if (!rules.has("drain_grace_us")) {
            throw rules.invalid("drain_grace_us", "a time in us, 0 for none");
        }
        for (int i = 0; i < classes.size(); i++) {
            Json profile = settings.item("profiles", i);
            profile.positiveMicros("goal_time_us");
            profile.positiveMicros("deadline_us");
            if (classes.get(i).idempotency() == Idempotency.KEYED) {
                profile.positiveMicros("repeat_window_us");
            }
        }
    }
}
