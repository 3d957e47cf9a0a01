package magpiewheel.routing;

/**
 * What the site allows routers to do.
 *
 * @param mayHedge whether two attempts of a request may be in flight at once
 * @param maxAttempts the most attempts of one request
 * @param maxInFlight the most requests in flight at a router
 */
public record RequestLimits(
        boolean mayCancel,
        boolean mayHedge,
        boolean mayMessagePeers,
        boolean mayCheckHealth,
        boolean maySendRetryAfter,
        int maxAttempts,
        int maxInFlight,
        long maxRetryAfterUs,
        long connectTimeoutUs) {
    /** The Retry-After that a rejected client may be given where this one is wanted; 0 for none. */
    public long retryAfterUs(long wantedUs) {
        return maySendRetryAfter ? Math.min(maxRetryAfterUs, wantedUs) : 0;
    }

    /** Starts a request limits with what it can't do without; all else has its preset. */
    public static Builder builder(int maxAttempts) {
        return new Builder(maxAttempts);
    }

    /** Collects the parts of a request limits; for one thread. */
    public static final class Builder {
        private final int maxAttempts;
        private boolean mayCancel;
        private boolean mayHedge;
        private boolean mayMessagePeers;
        private boolean mayCheckHealth;
        private boolean maySendRetryAfter;
        private int maxInFlight = Integer.MAX_VALUE;
        private long maxRetryAfterUs;
        private long connectTimeoutUs;

        private Builder(int maxAttempts) {
            this.maxAttempts = maxAttempts;
        }

        /** Sets {@link RequestLimits#mayCancel}. */
        public Builder mayCancel(boolean value) {
            mayCancel = value;
            return this;
        }

        /** Sets {@link RequestLimits#mayHedge}. */
        public Builder mayHedge(boolean value) {
            mayHedge = value;
            return this;
        }

        /** Sets {@link RequestLimits#mayMessagePeers}. */
        public Builder mayMessagePeers(boolean value) {
            mayMessagePeers = value;
            return this;
        }

        /** Sets {@link RequestLimits#mayCheckHealth}. */
        public Builder mayCheckHealth(boolean value) {
            mayCheckHealth = value;
            return this;
        }

        /** Sets {@link RequestLimits#maySendRetryAfter}. */
        public Builder maySendRetryAfter(boolean value) {
            maySendRetryAfter = value;
            return this;
        }

        /** Sets {@link RequestLimits#maxInFlight}. */
        public Builder maxInFlight(int value) {
            maxInFlight = value;
            return this;
        }

        /** Sets {@link RequestLimits#maxRetryAfterUs}. */
        public Builder maxRetryAfterUs(long value) {
            maxRetryAfterUs = value;
            return this;
        }

        /** Sets {@link RequestLimits#connectTimeoutUs}. */
        public Builder connectTimeoutUs(long value) {
            connectTimeoutUs = value;
            return this;
        }

        /** The request limits as set so far. */
        public RequestLimits build() {
            return new RequestLimits(
                    mayCancel,
                    mayHedge,
                    mayMessagePeers,
                    mayCheckHealth,
                    maySendRetryAfter,
                    maxAttempts,
                    maxInFlight,
                    maxRetryAfterUs,
                    connectTimeoutUs);
        }
    }
}
