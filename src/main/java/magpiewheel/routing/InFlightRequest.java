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
    /** Number of lookups: attempts that a cache may answer only from what it holds. */
    int cachedOnlyAttempts;
    /** When the next lookup may start; {@link Long#MAX_VALUE} for never. */
    long nextLookupAt;
    /** The cache whose fill the request waits for; null if it does not wait. */
    Endpoint awaitedCache;

    final LocalCopy localCopy;
    /** When the origin issued the local copy, by this router's clock. */
    final long localCopyIssuedAt;
    /** The staleness bound of the response. */
    StalenessBound bound = StalenessBound.NONE;
    /** Whether a strict bound cannot be proven, or an attempt returned a copy that violates the bound. */
    boolean boundUnproven;

    /** Creates a request that arrived now; the local copy is null if there is none. */
    InFlightRequest(RoutingRequest request, RequestClass requestClass, long now, long deadline, LocalCopy localCopy) {
        this.localCopy = localCopy;
        this.arrivedAt = now;
        this.localCopyIssuedAt = localCopy == null ? 0 : now - localCopy.ageUs();
        this.request = request;
        this.requestClass = requestClass;
        this.deadline = deadline;
    }

    /** Adds an attempt that starts, and cancels the scheduled lookup. */
    void attemptStarted(Attempt attempt, boolean cachedOnly) {
        attempts.add(attempt);
        cachedOnlyAttempts += cachedOnly ? 1 : 0;
        nextLookupAt = Long.MAX_VALUE;
    }

    /** Sets the staleness bound. A strict read whose bound cannot be proven is not attempted. */
    void setBound(StalenessBound newBound) {
        bound = newBound;
        boundUnproven = newBound.strict() && !newBound.provable();
        noMoreAttempts = boundUnproven;
    }

    /** Whether another request is for the same part. */
    boolean isForSamePart(RoutingRequest other) {
        return request.objectId() == other.objectId() && request.part() == other.part();
    }

    /** Returns the attempt with a number if it is open, else null. */
    Attempt openAttempt(int number) {
        boolean exists = number >= 0 && number < attempts.size();
        return exists && attempts.get(number).open ? attempts.get(number) : null;
    }

    /** Returns the numbers of the open attempts. */
    List<Integer> openAttemptNumbers() {
        return IntStream.range(0, attempts.size())
                .filter(number -> attempts.get(number).open)
                .boxed()
                .toList();
    }

    /** Returns the first attempt that is open or whose outcome does not prove that it never ran, or null. */
    Attempt firstAttemptThatMayHaveRun() {
        return attempts.stream().filter(Attempt::mayHaveRun).findFirst().orElse(null);
    }

    /** Returns the newest attempt; null before the first. */
    Attempt lastAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** Whether an attempt was already made at an endpoint and its source was not at fault. */
    boolean failedAt(Endpoint endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.target == endpoint && !attempt.sourceAtFault);
    }

    /** Whether an attempt was already made with an endpoint as its source or target. */
    boolean failedVia(Endpoint endpoint) {
        return attempts.stream().anyMatch(attempt -> attempt.source == endpoint || attempt.target == endpoint);
    }

    /** Returns the number of open attempts. */
    int openAttempts() {
        int open = 0;
        for (Attempt attempt : attempts) {
            open += attempt.open ? 1 : 0;
        }
        return open;
    }
}
