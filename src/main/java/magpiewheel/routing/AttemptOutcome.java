package magpiewheel.routing;

/**
 * The outcome of an attempt.
 *
 * @param attempt the index of the attempt within its request
 * @param durationUs the time from the start of the attempt to its end
 * @param requestCompleted whether the client needs no further answer
 * @param firstByteUs the time to the first byte of the response; 0 where it was not measured
 * @param originTimeMs the origin time of the copy in the response, Unix milliseconds: -1 where the response did not
 *     state it, 0 where there was no copy. With {@code MISS} the copy was not acceptable
 * @param serverProven whether the process that it was sent to is proven to be the listed endpoint, and not another one
 *     at its address
 */
public record AttemptOutcome(
        long requestId,
        int attempt,
        long endpointId,
        AttemptResult result,
        long durationUs,
        boolean requestCompleted,
        CacheStatus cacheStatus,
        long firstByteUs,
        long originTimeMs,
        boolean serverProven) {
    /**
     * Returns the waiting time of the attempt, us: the time to the first byte or the time beyond the transfer itself,
     * whichever is longer.
     *
     * @param transferUs the estimated time of the transfer alone
     */
    double waitUs(double transferUs) {
        return Math.max(firstByteUs > 0 ? firstByteUs : durationUs, durationUs - transferUs);
    }

    /** Whether the endpoint answered with a copy that was not delivered because it was not acceptable. */
    boolean isWithheldResponse() {
        return result == AttemptResult.MISS && originTimeMs != 0;
    }

    /** Returns a builder with the required values; the other values have their defaults. */
    public static Builder builder(long requestId, int attempt, long endpointId, AttemptResult result) {
        return new Builder(requestId, attempt, endpointId, result);
    }

    /** Builder of {@link AttemptOutcome}; not thread-safe. */
    public static final class Builder {
        private final long requestId;
        private final int attempt;
        private final long endpointId;
        private final AttemptResult result;
        private long durationUs;
        private boolean requestCompleted;
        private CacheStatus cacheStatus = CacheStatus.UNKNOWN;
        private long firstByteUs;
        private long originTimeMs;
        private boolean serverProven = true;

        private Builder(long requestId, int attempt, long endpointId, AttemptResult result) {
            this.requestId = requestId;
            this.attempt = attempt;
            this.endpointId = endpointId;
            this.result = result;
        }

        /** Sets {@link AttemptOutcome#durationUs}. */
        public Builder durationUs(long value) {
            durationUs = value;
            return this;
        }

        /** Sets {@link AttemptOutcome#requestCompleted}. */
        public Builder requestCompleted(boolean value) {
            requestCompleted = value;
            return this;
        }

        /** Sets {@link AttemptOutcome#cacheStatus}. */
        public Builder cacheStatus(CacheStatus value) {
            cacheStatus = value;
            return this;
        }

        /** Sets {@link AttemptOutcome#firstByteUs}. */
        public Builder firstByteUs(long value) {
            firstByteUs = value;
            return this;
        }

        /** Sets {@link AttemptOutcome#originTimeMs}. */
        public Builder originTimeMs(long value) {
            originTimeMs = value;
            return this;
        }

        /** Sets {@link AttemptOutcome#serverProven}. */
        public Builder serverProven(boolean value) {
            serverProven = value;
            return this;
        }

        /** Returns the attempt outcome. */
        public AttemptOutcome build() {
            return new AttemptOutcome(
                    requestId,
                    attempt,
                    endpointId,
                    result,
                    durationUs,
                    requestCompleted,
                    cacheStatus,
                    firstByteUs,
                    originTimeMs,
                    serverProven);
        }
    }
}
