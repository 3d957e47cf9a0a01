package magpiewheel.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import magpiewheel.membership.MembershipConfig;
import magpiewheel.membership.MembershipView;
import magpiewheel.region.RegionConfig;

/**
 * What a director passes on as it is: to the membership, to the regions and to the pinned reads. Nothing is decided
 * here.
 */
abstract class FleetRouter implements RoutingPolicy {
    /** Requests in hand, in the order of their arrival. */
    final Map<Long, InFlightRequest> flights = new LinkedHashMap<>();
    /** What speaks to other fronts, and which fronts of this location it heard. */
    final FleetProtocols fleet;

    final StalenessBridge pinning;
    final RegionBridge leading;

    /** Regions may be null; the fleet's timers bear the handle. */
    FleetRouter(
            RoutingSettings set,
            RoutingActions out,
            MembershipConfig setup,
            RegionConfig regions,
            boolean pins,
            long handle) {
        if (set == null || out == null) {
            throw new IllegalArgumentException((set == null ? "settings" : "actions") + " are missing");
        }
        fleet = new FleetProtocols(setup, regions, out, handle, set.limits().mayMessagePeers());
        pinning = new StalenessBridge(pins, setup.startedMs() * 1_000, set.topology(), fleet, flights, out);
        leading = new RegionBridge(fleet, set);
    }

    @Override
    public BoundedReads boundedReads() {
        return pinning;
    }

    @Override
    public MembershipView membership() {
        return fleet.view();
    }

    @Override
    public Map<String, Long> statistics(long now) {
        return pinning.figures(now, leading.figures(now));
    }

    @Override
    public void setServing(long now, boolean serves) {
        fleet.serving(now, serves);
    }

    @Override
    public void reachabilityRefused(long now, int director, long askedAt) {
        fleet.refused(now, director, askedAt);
    }
}
