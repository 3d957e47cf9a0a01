package magpiewheel.region;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** What a voter promised: for a while it supports no other leader, but of the proposer that it promised to. */
final class PromiseLedger {
    private record Promise(long leader, int proposer, long until) {}

    private final List<Promise> promises = new ArrayList<>();

    /** Whether a promise that still stands forbids to support a leader of this proposer. */
    boolean forbids(long now, long leader, int proposer) {
        return promises.stream()
                .anyMatch(promise ->
                        now < promise.until() && promise.leader() != leader && promise.proposer() != proposer);
    }

    /** Promises to support a leader of a proposer, in place of an older promise of the same. */
    void promise(long now, long leader, int proposer) {
        promises.removeIf(
                promise -> now >= promise.until() || promise.proposer() == proposer && promise.leader() == leader);
        promises.add(new Promise(leader, proposer, now + Lease.PROMISE_US));
    }

    /** The leader whose promise stands for longest; 0 where none does. */
    long promisedLeader(long now) {
        return promises.stream()
                .filter(promise -> now < promise.until())
                .max(Comparator.comparingLong(Promise::until))
                .map(Promise::leader)
                .orElse(0L);
    }
}
