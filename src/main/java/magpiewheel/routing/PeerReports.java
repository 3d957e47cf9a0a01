package magpiewheel.routing;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The other fronts of this location: who is to be told, and what each told last. It only stores. */
final class PeerReports {
    /**
     * A message that is not older than the last of its sender, when that was sent, and whether it is the first of its
     * time.
     */
    record Heard(PeerMessage message, long at, boolean first) {}

    private final int zone;
    private final int maxPeers;
    private final long forgetUs;
    private final Map<Long, Endpoint> nodes;
    private final TreeMap<Long, PeerState> peers = new TreeMap<>();
    private List<Integer> current = List.of();
    private double fillsInFlight;

    /** Of one location; so many are remembered at most, and for so long. Loads told are counted at the nodes given. */
    PeerReports(int zone, int most, long forgetUs, Map<Long, Endpoint> nodes) {
        this.zone = zone;
        this.maxPeers = most;
        this.forgetUs = forgetUs;
        this.nodes = nodes;
    }

    /**
     * From now on those are told that the membership hears, and those that told something themselves not too long ago.
     */
    void updatePeers(long now, List<Integer> heard, long silentUs) {
        TreeSet<Integer> all = new TreeSet<>(heard);
        peers.forEach((number, peer) -> {
            if (now - peer.heardAt > silentUs) {
                // What it told of its load is out of date, whether it lives or not.
                fillsInFlight += peer.update(0, List.of(), nodes);
            } else {
                // Fronts of the release before are no members; they are met by what they tell.
                all.add(number.intValue());
            }
        });
        peers.values().removeIf(peer -> now - peer.heardAt > forgetUs);
        current = List.copyOf(all);
    }

    /** Takes a message in; null where it is none, another location's, or older than what was heard. */
    Heard received(long now, long sender, PeerMessage message) {
        if (message == null || message.zone() != zone || peers.size() >= maxPeers) {
            return null;
        }
        PeerState peer = peers.computeIfAbsent(sender, key -> new PeerState());
        if (message.sentAtUs() < peer.lastSentAt) {
            return null;
        }
        boolean first = message.sentAtUs() > peer.lastSentAt;
        peer.heardAt = now;
        peer.leastDelay = Math.min(peer.leastDelay, now - message.sentAtUs());
        peer.lastSentAt = message.sentAtUs();
        if (first) {
            fillsInFlight += peer.update(message.fillsInFlight(), message.loads(), nodes);
        }
        return new Heard(message, message.sentAtUs() + peer.leastDelay, first);
    }

    List<Integer> current() {
        return current;
    }

    int size() {
        return current.size();
    }

    /** Fills that they have out, as far as they told. */
    double fillsInFlight() {
        return fillsInFlight;
    }
}
