package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import magpiewheel.staleness.StalenessBound;

/** A request from its arrival to the end of its last attempt. */
final class InFlightRequest {
    final RoutingRequest request;
    final RequestClass requestClass;
    long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    boolean completed;
    boolean noMoreAttempts;
    final long arrivedAt;
    /** Attempts that asked a cache only for what it holds. */
    int cachedOnlyAttempts;
    /** When the next of those may start; {@link Long#MAX_VALUE} for never. */
    long nextLookupAt;
    /** The cache whose fill the request waits for; null while it waits for none. */
    Endpoint awaitedCache;

    final LocalCopy localCopy;
    /** When the origin gave out the router's own copy, by this router's clock. */
    final long localCopyIssuedAt;
    /** The staleness bound of the response. */
    StalenessBound bound = StalenessBound.NONE;
    /** Whether the bound can't be proven, or a copy came that violates it. */
    boolean boundUnproven;

    /** A request that arrived now; the copy is null where the router has none. */
    InFlightRequest(RoutingRequest request, RequestClass requestClass, long now, long deadline, LocalCopy localCopy) {
        this.localCopy = localCopy;
        this.arrivedAt = now;
        this.localCopyIssuedAt = localCopy == null ? 0 : now - localCopy.ageUs();
        this.request = request;
        this.requestClass = requestClass;
        this.deadline = deadline;
    }

    /** An attempt starts; the next one that asks only for what a cache holds has to be scheduled anew. */
    void attemptStarted(Attempt attempt, boolean cachedOnly) {
        attempts.add(attempt);
        cachedOnlyAttempts += cachedOnly ? 1 : 0;
        nextLookupAt = Long.MAX_VALUE;
    }

    /** Sets the staleness bound. A strict read whose bound can't be proven is not attempted. */
    void setBound(StalenessBound newBound) {
        bound = newBound;
        boundUnproven = newBound.strict() && !newBound.provable();
        noMoreAttempts = boundUnproven;
    }

    /** Whether an endpoint recognises the idempotency keys of another; every endpoint does where that is null. */
    boolean isInKeyScope(Endpoint keyOwner, Endpoint endpoint) {
        return keyOwner == null
                || (requestClass.keyScope() == IdempotencyKeyScope.CELL
                        ? keyOwner.info.cell() == endpoint.info.cell()
                        : keyOwner.info.zone() == endpoint.info.zone());
    }

    /** Whether another request is for the same part. */
    boolean isForSamePart(RoutingRequest other) {
        return request.objectId() == other.objectId() && request.part() == other.part();
    }

    /** The attempt of a number if it is still open, else null. */
    Attempt openAttempt(int number) {
        boolean exists = number >= 0 && number < attempts.size();
        return exists && attempts.get(number).open ? attempts.get(number) : null;
    }

    /** The numbers of the open attempts. */
    List<Integer> openAttemptNumbers() {
        return IntStream.range(0, attempts.size())
                .filter(number -> attempts.get(number).open)
                .boxed()
                .toList();
    }

    /** The first attempt that is open, or whose result does not prove that it never ran; null if there is none. */
    Attempt firstAttemptThatMayHaveRun() {
        return attempts.stream()
                .filter(attempt -> attempt.open || !attempt.result.neverRan)
                .findFirst()
                .orElse(null);
    }

    /** The newest attempt; null before the first. */
    Attempt lastAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** Whether an attempt already failed for a reason that lies with the endpoint itself. */
    boolean failedAt(Endpoint endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.target == endpoint && !attempt.sourceAtFault);
    }

    /** Whether an attempt that the endpoint was to fill, or to serve past the caches, already failed. */
    boolean failedVia(Endpoint endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.source == endpoint || attempt.target == endpoint);
    }

    /** How many attempts are open. */
    int openAttempts() {
        int open = 0;
        for (Attempt attempt : attempts) {
            open += attempt.open ? 1 : 0;
        }
        return open;
    }
}
