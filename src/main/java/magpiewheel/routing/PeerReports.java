package magpiewheel.routing;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The other routers of this zone: who gets reports, and what each reported last. It only stores. */
final class PeerReports {
    /**
     * A report that is not older than its sender's last: when it was sent, and whether it is the first datagram of its
     * time.
     */
    record AcceptedReport(PeerMessage message, long sentAt, boolean first) {}

    private final int zone;
    private final int maxPeers;
    private final long retentionUs;
    private final Map<Long, Endpoint> endpoints;
    private final TreeMap<Long, PeerState> peers = new TreeMap<>();
    private List<Integer> recipients = List.of();
    private double fillsInFlight;

    /** The peers of a zone: so many at most, remembered for so long. Their loads are counted at the endpoints. */
    PeerReports(int zone, int maxPeers, long retentionUs, Map<Long, Endpoint> endpoints) {
        this.zone = zone;
        this.maxPeers = maxPeers;
        this.retentionUs = retentionUs;
        this.endpoints = endpoints;
    }

    /** Sets who gets reports: the members of the zone, and those that sent a report not too long ago. */
    void updatePeers(long now, List<Integer> members, long silenceTimeoutUs) {
        TreeSet<Integer> updated = new TreeSet<>(members);
        peers.forEach((id, peer) -> {
            if (now - peer.receivedAt > silenceTimeoutUs) {
                // The load that it reported is out of date, whether it runs or not.
                fillsInFlight += peer.update(0, List.of(), endpoints);
            } else {
                // Routers of the release before are no members; they are found by their reports.
                updated.add(id.intValue());
            }
        });
        peers.values().removeIf(peer -> now - peer.receivedAt > retentionUs);
        recipients = List.copyOf(updated);
    }

    /** Takes a report in; null where it is none, comes from another zone, or is older than its sender's last. */
    AcceptedReport received(long now, long sender, PeerMessage message) {
        if (message == null || message.zone() != zone || peers.size() >= maxPeers) {
            return null;
        }
        PeerState peer = peers.computeIfAbsent(sender, key -> new PeerState());
        if (message.sentAtUs() < peer.lastSentAt) {
            return null;
        }
        boolean first = message.sentAtUs() > peer.lastSentAt;
        peer.receivedAt = now;
        peer.minDelay = Math.min(peer.minDelay, now - message.sentAtUs());
        peer.lastSentAt = message.sentAtUs();
        if (first) {
            fillsInFlight += peer.update(message.fillsInFlight(), message.loads(), endpoints);
        }
        return new AcceptedReport(message, message.sentAtUs() + peer.minDelay, first);
    }

    List<Integer> recipients() {
        return recipients;
    }

    int size() {
        return recipients.size();
    }

    /** Their fills in flight, as far as they reported. */
    double fillsInFlight() {
        return fillsInFlight;
    }
}
