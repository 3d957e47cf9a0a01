package magpiewheel.module;

import java.util.LinkedHashMap;
import java.util.Map;
import magpiewheel.membership.Setup;
import magpiewheel.membership.View;
import magpiewheel.module.State.Flight;
import magpiewheel.region.RegionSetup;

/**
 * What a director passes on as it is: to the membership, to the regions and to the pinned reads. Nothing is decided
 * here.
 */
abstract class FleetDirector implements Director {
    /** Requests in hand, in the order of their arrival. */
    final Map<Long, Flight> flights = new LinkedHashMap<>();
    /** What speaks to other fronts, and which fronts of this location it heard. */
    final Fleet fleet;

    final Pinning pinning;
    final Leading leading;

    /** Regions may be null; the fleet's timers bear the handle. */
    FleetDirector(Settings set, Actions out, Setup setup, RegionSetup regions, boolean pins, long handle) {
        if (set == null || out == null) {
            throw new IllegalArgumentException((set == null ? "settings" : "actions") + " are missing");
        }
        fleet = new Fleet(setup, regions, out, handle, set.limits().peers());
        pinning = new Pinning(pins, setup.startedMs() * 1_000, set.place(), fleet, flights, out);
        leading = new Leading(fleet, set);
    }

    @Override
    public Reads reads() {
        return pinning;
    }

    @Override
    public View view() {
        return fleet.view();
    }

    @Override
    public Map<String, Long> figures(long now) {
        return pinning.figures(now, leading.figures(now));
    }

    @Override
    public void serving(long now, boolean serves) {
        fleet.serving(now, serves);
    }

    @Override
    public void refused(long now, int director, long askedAt) {
        fleet.refused(now, director, askedAt);
    }
}
