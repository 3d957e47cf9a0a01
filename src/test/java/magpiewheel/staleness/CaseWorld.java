package magpiewheel.staleness;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** One router with four caches and a parent; the origin's clock is 300 ms ahead. Runs the cases of the design page. */
final class CaseWorld {
    static final long MS = 1_000;
    static final long OBJECT = 7;
    static final long SESSION = 0xaa;
    static final long PARENT = 101;
    static final long ORIGIN_CLOCK_OFFSET = 300 * MS;
    long now = 1_764_576_000_000_000L;
    final BoundedStalenessReads reads =
            new BoundedStalenessReads(now - 60_000 * MS, 0, 0, new FixedMembershipView(), (router, message) -> {});
    private final Set<Long> draining = new TreeSet<>();
    private final Set<Long> removed = new TreeSet<>();
    long clockWidthMs = 10;
    boolean heard = true;
    long fresh = 5_000 * MS;
    long grace = 10_000 * MS;
    long purge;
    String error = "";
    ReadHint hint = ReadHint.NONE;
    StalenessBound bound;
    /** The origin time of the copy that was fetched for this read. */
    long originTimeOfResponse;

    CaseWorld() {
        applyReplicaList();
        reads.discoveryHeard(now - 4_000 * MS);
        reads.discoveryHeard(now - 2_000 * MS);
        reads.discoveryHeard(now);
    }

    long originClock() {
        return now + ORIGIN_CLOCK_OFFSET;
    }

    void applyReplicaList() {
        List<Replica> all = new ArrayList<>();
        for (long id = 1; id <= 4; id++) {
            if (!removed.contains(id)) {
                all.add(new Replica(id, draining.contains(id), 1, 0));
            }
        }
        reads.replicasChanged(now, all);
    }

    void setCacheState(long cache, String state) {
        draining.remove(cache);
        removed.remove(cache);
        if (state.equals("drains")) {
            draining.add(cache);
        } else if (state.equals("is gone")) {
            removed.add(cache);
        }
        applyReplicaList();
    }

    private List<Long> ready() {
        List<Long> ready = new ArrayList<>(List.of(1L, 2L, 3L, 4L));
        ready.removeAll(draining);
        ready.removeAll(removed);
        return ready;
    }

    void passWithoutDiscovery(long ms) {
        now += ms * MS;
    }

    /** Advances the time with a discovery frame every 100 ms, the last one at the end. */
    void hearDiscoveryFor(long ms) {
        long from = now;
        reads.discoveryHeard(from);
        for (long at = 100; at <= ms; at += 100) {
            now = from + at * MS;
            reads.discoveryHeard(now);
        }
    }

    /** A read with a hint arrives; marks in the text are ms relative to the origin's current time. */
    void read(String text) {
        if (clockWidthMs > 0) {
            // The fetch time, plus the resolution of 1 ms, is the uncertainty of the upper bound; the lower is exact.
            reads.responseReceived(now - (clockWidthMs - 1) * MS, now, originClock(), true);
        }
        try {
            java.util.regex.Matcher mark =
                    java.util.regex.Pattern.compile("after:(-?\\d+)").matcher(text);
            hint = text.isEmpty()
                    ? ReadHint.NONE
                    : ReadHint.parse(
                            mark.replaceAll(m -> "after:" + (originClock() / MS + Long.parseLong(m.group(1)))));
            bound = reads.boundOf(now, hint, fresh, grace, purge);
        } catch (InvalidHintException e) {
            error = e.getMessage();
        }
    }

    long originTimeAtAge(long ageMs) {
        return originClock() - ageMs * MS;
    }

    long preferredReplica() {
        return reads.preferredReplica(now, hint, OBJECT, 0, ready(), bound);
    }
}
