package magpiewheel.routing;

import java.util.List;

/**
 * One message; {@code fillsInFlight} are the sender's fills in hand, {@code fillLimit} what it thinks fits,
 * {@code originLateRatio} the share of its fills from the origin that came late lately, 0 to 1.
 */
record PeerMessage(
        int zone,
        long sentAtUs,
        double fillsInFlight,
        double fillLimit,
        double originLateRatio,
        List<EndpointLoad> loads,
        List<HolderHint> fillsStarted,
        List<HolderHint> holders) {}
