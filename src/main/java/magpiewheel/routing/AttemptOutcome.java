package magpiewheel.routing;

/**
 * How an attempt ended.
 *
 * @param requestCompleted whether the client needs no further answer
 * @param firstByteUs how long the first byte took; 0 where that was not measured
 * @param originTimeMs when the origin gave out the copy that came, Unix milliseconds: -1 where the response did not
 *     say, 0 where none came. With {@code MISS} that copy was not acceptable
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
        long originTimeMs) {
    /**
     * How long the attempt waited: to the first byte or, where that is longer, beyond its transfer time.
     *
     * @param transferUs the time that the transfer alone takes
     */
    double waitUs(double transferUs) {
        return Math.max(firstByteUs > 0 ? firstByteUs : durationUs, durationUs - transferUs);
    }

    /** Starts an attempt outcome with what it can't do without; all else has its preset. */
    public static Builder builder(long requestId, int attempt, long endpointId, AttemptResult result) {
        return new Builder(requestId, attempt, endpointId, result);
    }

    /** Collects the parts of an attempt outcome; for one thread. */
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

        /** The attempt outcome as set so far. */
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
                    originTimeMs);
        }
    }
}
