package magpiewheel.staleness;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** One front with four caches and a parent, whose origin's clock is 300 ms ahead; for the cases of the design page. */
final class CaseWorld {
    static final long MS = 1_000;
    static final long OBJECT = 7;
    static final long SESSION = 0xaa;
    static final long PARENT = 101;
    static final long AHEAD = 300 * MS;
    long now = 1_764_576_000_000_000L;
    final BoundedStalenessReads pins =
            new BoundedStalenessReads(now - 60_000 * MS, 0, 0, new FixedMembershipView(), (front, message) -> {});
    private final Set<Long> draining = new TreeSet<>();
    private final Set<Long> gone = new TreeSet<>();
    long clockMs = 10;
    boolean heard = true;
    long fresh = 5_000 * MS;
    long grace = 10_000 * MS;
    long purge;
    String error = "";
    ReadHint hint = ReadHint.NONE;
    StalenessBound bound;
    /** What the origin gave out for this read. */
    long given;

    CaseWorld() {
        list();
        pins.discoveryHeard(now - 4_000 * MS);
        pins.discoveryHeard(now - 2_000 * MS);
        pins.discoveryHeard(now);
    }

    long origin() {
        return now + AHEAD;
    }

    void list() {
        List<Replica> all = new ArrayList<>();
        for (long id = 1; id <= 4; id++) {
            if (!gone.contains(id)) {
                all.add(new Replica(id, draining.contains(id), 1, 0));
            }
        }
        pins.replicasChanged(now, all);
    }

    void state(long node, String state) {
        draining.remove(node);
        gone.remove(node);
        if (state.equals("drains")) {
            draining.add(node);
        } else if (state.equals("is gone")) {
            gone.add(node);
        }
        list();
    }

    private List<Long> ready() {
        List<Long> ready = new ArrayList<>(List.of(1L, 2L, 3L, 4L));
        ready.removeAll(draining);
        ready.removeAll(gone);
        return ready;
    }

    void silent(long ms) {
        now += ms * MS;
    }

    /** Frames each half second, the last one now. */
    void boardFor(long ms) {
        long from = now;
        pins.discoveryHeard(from);
        for (long at = 100; at <= ms; at += 100) {
            now = from + at * MS;
            pins.discoveryHeard(now);
        }
    }

    /** The read comes; marks are ms of the origin's clock, counted from now. */
    void read(String text) {
        if (clockMs > 0) {
            // So long a fetch leaves so much open at the upper end, and nothing at the lower.
            pins.responseReceived(now - (clockMs - 1) * MS, now, origin(), true);
        }
        try {
            java.util.regex.Matcher mark =
                    java.util.regex.Pattern.compile("after:(-?\\d+)").matcher(text);
            hint = text.isEmpty()
                    ? ReadHint.NONE
                    : ReadHint.parse(mark.replaceAll(m -> "after:" + (origin() / MS + Long.parseLong(m.group(1)))));
            bound = pins.boundOf(now, hint, fresh, grace, purge);
        } catch (InvalidHintException e) {
            error = e.getMessage();
        }
    }

    long minted(long ageMs) {
        return origin() - ageMs * MS;
    }

    long asked() {
        return pins.preferredReplica(now, hint, OBJECT, 0, ready(), bound);
    }
}
