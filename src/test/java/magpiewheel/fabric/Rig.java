package magpiewheel.fabric;

import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import magpiewheel.wire.Fleet;

/**
 * What the fronts of a fabric are started with: where they stand and the nodes of the list; sections for the
 * application's configuration (each behind a comma) and members for the platform's (each before one); the class that
 * begins, and what each front finds in its environment.
 */
public record Rig(
        Fleet.Sites sites,
        List<Spot> spots,
        String app,
        String more,
        String main,
        IntFunction<Map<String, String>> env) {
    /** The program as it is, with nothing special in its configuration. */
    static Rig plain(Fleet.Sites sites, List<Spot> spots) {
        return new Rig(sites, spots, "", "", "magpiewheel.Main", front -> Map.of());
    }
}
