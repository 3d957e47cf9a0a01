package magpiewheel.region;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The promises of a voter: for {@link Lease#PROMISE_US} it supports no other leader, except for the proposer that the
 * promise was given to.
 */
final class PromiseLedger {
    private record Promise(long leader, int proposer, long until) {}

    private final List<Promise> promises = new ArrayList<>();

    /** Whether a valid promise forbids supporting this leader for this proposer. */
    boolean forbids(long now, long leader, int proposer) {
        return promises.stream()
                .anyMatch(promise ->
                        now < promise.until() && promise.leader() != leader && promise.proposer() != proposer);
    }

    /** Promises to support a leader of a proposer. This replaces an older promise for the same leader and proposer. */
    void promise(long now, long leader, int proposer) {
        promises.removeIf(
                promise -> now >= promise.until() || promise.proposer() == proposer && promise.leader() == leader);
        promises.add(new Promise(leader, proposer, now + Lease.PROMISE_US));
    }

    /** Returns the leader whose promise expires last; 0 if no promise is valid. */
    long promisedLeader(long now) {
        return promises.stream()
                .filter(promise -> now < promise.until())
                .max(Comparator.comparingLong(Promise::until))
                .map(Promise::leader)
                .orElse(0L);
    }
}
