package magpiewheel.routing;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The peers in this zone: which ones receive reports, and the last report of each. Makes no decisions. */
final class PeerReports {
    /**
     * A report that is not older than the previous one of its sender.
     *
     * @param sentAt the estimated time at which it was sent, by this router's clock
     * @param first whether it is the first datagram of the report
     */
    record AcceptedReport(PeerMessage message, long sentAt, boolean first) {}

    private final int zone;
    private final int maxPeers;
    private final long retentionUs;
    private final Map<Long, Endpoint> endpoints;
    private final TreeMap<Long, PeerState> peers = new TreeMap<>();
    private List<Integer> recipients = List.of();
    private double fillsInFlight;

    /**
     * Creates an empty table.
     *
     * @param maxPeers the maximum number of peers whose reports are stored
     * @param retentionUs how long a silent peer is kept
     * @param endpoints the endpoints by id, to whose load the peers' attempts are added
     */
    PeerReports(int zone, int maxPeers, long retentionUs, Map<Long, Endpoint> endpoints) {
        this.zone = zone;
        this.maxPeers = maxPeers;
        this.retentionUs = retentionUs;
        this.endpoints = endpoints;
    }

    /** Updates the recipients: the members of the zone, and the peers that were silent for no longer than a time. */
    void updatePeers(long now, List<Integer> members, long silenceTimeoutUs) {
        TreeSet<Integer> updated = new TreeSet<>(members);
        peers.forEach((id, peer) -> {
            if (now - peer.receivedAt > silenceTimeoutUs) {
                // The load that it reported is outdated, whether or not it still runs.
                fillsInFlight += peer.update(0, List.of(), endpoints);
            } else {
                // Routers of the previous release are not members; they are found by their reports.
                updated.add(id.intValue());
            }
        });
        peers.values().removeIf(peer -> now - peer.receivedAt > retentionUs);
        recipients = List.copyOf(updated);
    }

    /**
     * Stores a report. Returns null, and ignores the report, if it is null, comes from another zone or is older than
     * the previous one of its sender, or if the table is full.
     */
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

    /** Returns the number of fills in flight that the peers reported. */
    double fillsInFlight() {
        return fillsInFlight;
    }
}
