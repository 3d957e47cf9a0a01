package magpiewheel.config;

import java.util.List;
import magpiewheel.routing.Idempotency;
import magpiewheel.routing.RequestClass;

/** What the settings of a site have to tell before a front can serve: without it, none of its requests could be. */
final class RequiredSettings {
    private RequiredSettings() {}

    /** Names the first key that is missing, or whose value leaves nothing to serve with. */
    static void check(Json settings, List<RequestClass> classes) throws ConfigException {
        settings.object("limits").integer("max_attempts", 0, 1, Integer.MAX_VALUE);
        Json rules = settings.object("rules");
        if (!rules.has("drain_grace_us")) {
            throw rules.invalid("drain_grace_us", "a time, 0 for at once");
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
