package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import magpiewheel.staleness.StalenessBound;

/** A request in hand. */
final class InFlightRequest {
    final RoutingRequest request;
    final RequestClass requestClass;
    long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    boolean completed;
    boolean noMoreAttempts;
    final long arrivedAt;
    /**
     * How often it asked a cache only for what that holds, when it may again, and where it waits for a fill, or null.
     */
    int cachedOnlyAttempts;

    long nextLookupAt;
    Endpoint awaitedCache;
    final LocalCopy localCopy;
    /** When the origin gave out the router's own copy. */
    final long localCopyFrom;
    /** What its copy must keep to, and whether that can't be proven or a copy came that does not. */
    StalenessBound bound = StalenessBound.NONE;

    boolean unproven;

    InFlightRequest(RoutingRequest request, RequestClass profile, long now, long deadline, LocalCopy own) {
        this.localCopy = own;
        this.arrivedAt = now;
        this.localCopyFrom = own == null ? 0 : now - own.ageUs();
        this.request = request;
        this.requestClass = profile;
        this.deadline = deadline;
    }

    /** An attempt starts; the next one that asks only for what a cache holds has to be scheduled anew. */
    void started(Attempt attempt, boolean cachedOnly) {
        attempts.add(attempt);
        cachedOnlyAttempts += cachedOnly ? 1 : 0;
        nextLookupAt = Long.MAX_VALUE;
    }

    /** Sets what its copy must keep to. What can't be proven of a strict read is not even tried. */
    void setBound(StalenessBound asked) {
        bound = asked;
        unproven = asked.strict() && !asked.provable();
        noMoreAttempts = unproven;
    }

    /** Whether a node drops the repeats of what ran at another, or null for none. */
    boolean sharesKeyScope(Endpoint group, Endpoint node) {
        return group == null
                || (requestClass.keyScope() == IdempotencyKeyScope.CELL
                        ? group.info.cell() == node.info.cell()
                        : group.info.zone() == node.info.zone());
    }

    /** Whether another request is for the same part. */
    boolean isForSamePart(RoutingRequest other) {
        return request.objectId() == other.objectId() && request.part() == other.part();
    }

    /** The attempt of a number if it is still out, else null. */
    Attempt openAttempt(int number) {
        boolean known = number >= 0 && number < attempts.size();
        return known && attempts.get(number).open ? attempts.get(number) : null;
    }

    /** The numbers of the attempts that are out. */
    List<Integer> openAttemptNumbers() {
        return IntStream.range(0, attempts.size())
                .filter(number -> attempts.get(number).open)
                .boxed()
                .toList();
    }

    /** The first attempt that is out or whose outcome does not prove that it never ran; null if there is none. */
    Attempt firstThatMayHaveRun() {
        return attempts.stream()
                .filter(attempt -> attempt.open || !attempt.result.neverRan)
                .findFirst()
                .orElse(null);
    }

    /** The newest attempt; null before the first. */
    Attempt lastAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** Whether an attempt already failed for a reason that lies with the node itself. */
    boolean failedAt(Endpoint node) {
        return attempts.stream().anyMatch(attempt -> attempt.target == node && !attempt.sourceAtFault);
    }

    /** Whether an attempt that the node was to fill, or to serve past the caches, already failed. */
    boolean failedFrom(Endpoint node) {
        return attempts.stream().anyMatch(attempt -> attempt.source == node || attempt.target == node);
    }

    int openAttempts() {
        int open = 0;
        for (Attempt attempt : attempts) {
            open += attempt.open ? 1 : 0;
        }
        return open;
    }
}
