package magpiewheel.routing;

/**
 * How an endpoint is to serve an attempt.
 *
 * @param retentionRank how long the object is to be cached: 0 not at all, then from 1 (evicted first) to 3
 * @param deadlineUs when the attempt is abandoned
 * @param joinFill whether it may join a fill in flight
 * @param cachedOnly whether a parent may serve only what it holds
 * @param bypassParentCache whether a parent must not cache the object
 * @param revalidate whether a stale copy may be revalidated
 * @param fillSource the endpoint that fills a miss; the target itself if a miss is not filled
 * @param maxAgeUs the maximum age of an acceptable copy; 0 for the class's own fresh time
 * @param startByUs when the attempt may no longer start, as a drain, a purge or the end of an idempotency window could
 *     forbid it
 * @param requiresProvenServer whether it may be written only to a process that is proven to be the listed endpoint
 */
public record AttemptPlan(
        int retentionRank,
        long deadlineUs,
        boolean joinFill,
        boolean cachedOnly,
        boolean bypassParentCache,
        boolean revalidate,
        long fillSource,
        long maxAgeUs,
        long startByUs,
        boolean requiresProvenServer) {

    /** Returns a builder with the required values; other values have their defaults. */
    public static Builder builder(long fillSource) {
        return new Builder(fillSource);
    }

    /** Builder of an attempt plan; not thread-safe. */
    public static final class Builder {
        private final long fillSource;
        private int retentionRank;
        private long deadlineUs;
        private boolean joinFill;
        private boolean cachedOnly;
        private boolean bypassParentCache;
        private boolean revalidate;
        private long maxAgeUs;
        private long startByUs = Long.MAX_VALUE;
        private boolean requiresProvenServer;

        private Builder(long fillSource) {
            this.fillSource = fillSource;
        }

        /** Sets {@link AttemptPlan#retentionRank}. */
        public Builder retentionRank(int value) {
            retentionRank = value;
            return this;
        }

        /** Sets {@link AttemptPlan#deadlineUs}. */
        public Builder deadlineUs(long value) {
            deadlineUs = value;
            return this;
        }

        /** Sets {@link AttemptPlan#joinFill}. */
        public Builder joinFill(boolean value) {
            joinFill = value;
            return this;
        }

        /** Sets {@link AttemptPlan#cachedOnly}. */
        public Builder cachedOnly(boolean value) {
            cachedOnly = value;
            return this;
        }

        /** Sets {@link AttemptPlan#bypassParentCache}. */
        public Builder bypassParentCache(boolean value) {
            bypassParentCache = value;
            return this;
        }

        /** Sets {@link AttemptPlan#revalidate}. */
        public Builder revalidate(boolean value) {
            revalidate = value;
            return this;
        }

        /** Sets {@link AttemptPlan#maxAgeUs}. */
        public Builder maxAgeUs(long value) {
            maxAgeUs = value;
            return this;
        }

        /** Sets {@link AttemptPlan#startByUs}. */
        public Builder startByUs(long value) {
            startByUs = value;
            return this;
        }

        /** Sets {@link AttemptPlan#requiresProvenServer}. */
        public Builder requiresProvenServer(boolean value) {
            requiresProvenServer = value;
            return this;
        }

        /** Returns an attempt plan with the values set so far. */
        public AttemptPlan build() {
            return new AttemptPlan(
                    retentionRank,
                    deadlineUs,
                    joinFill,
                    cachedOnly,
                    bypassParentCache,
                    revalidate,
                    fillSource,
                    maxAgeUs,
                    startByUs,
                    requiresProvenServer);
        }
    }
}
