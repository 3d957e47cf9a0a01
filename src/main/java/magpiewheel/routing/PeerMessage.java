package magpiewheel.routing;

import java.util.List;

/**
 * A report of a router to its peers.
 *
 * @param zone the sender's zone
 * @param sentAtUs the sender's clock when it sent the report
 * @param fillsInFlight the estimated number of the sender's fills in flight
 * @param fillLimit the sender's limit of concurrent fills into the zone
 * @param originLateRatio the ratio of the sender's recent fills from the origin that were late, 0 to 1
 * @param loads the sender's loads of the caches of the zone
 * @param fillsStarted the fills that the sender started since its last report
 * @param holders the caches that were filled for the sender's requests since its last report
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
