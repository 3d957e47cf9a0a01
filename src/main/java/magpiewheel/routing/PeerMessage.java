package magpiewheel.routing;

import java.util.List;

/**
 * A message to a peer.
 *
 * @param fillsInFlight the sender's fills in flight
 * @param fillLimit the fills that the sender thinks the zone's link carries
 * @param originLateRatio the share of its fills from the origin that were late lately, 0 to 1
 * @param fillsStarted the fills that it started since its last message
 * @param holders the caches that it saw filled since
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
