package magpiewheel.routing;

/**
 * How an endpoint is to serve an attempt.
 *
 * @param retentionRank how long the object is to be cached: 0 not at all, then from 1 (evicted first) to 3
 * @param deadlineUs when the attempt is to be given up
 * @param joinFill whether it may join a fill in flight
 * @param cachedOnly whether a parent may serve only what it holds
 * @param bypassParentCache whether a parent is not to cache the object
 * @param revalidate whether a stale copy may be revalidated
 * @param fillSource where a miss is filled from; the endpoint itself for nowhere
 * @param maxAgeUs the oldest acceptable copy; 0 for the class's own fresh time
 * @param startByUs from then on it may not start: a drain, a purge or the end of a key's window could forbid it
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
        long startByUs) {

    /** Starts an attempt plan with what it can't do without; all else has its preset. */
    public static Builder builder(long fillSource) {
        return new Builder(fillSource);
    }

    /** Collects the parts of an attempt plan; for one thread. */
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

        /** The attempt plan as set so far. */
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
                    startByUs);
        }
    }
}
