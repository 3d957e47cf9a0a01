package magpiewheel.routing;

/**
 * The actions that a site permits its routers, and their limits.
 *
 * @param mayCancel whether routers may cancel attempts in flight
 * @param mayHedge whether two attempts of a request may be in flight at once
 * @param mayMessagePeers whether routers may send messages to each other
 * @param mayCheckHealth whether routers may send health checks
 * @param maySendRetryAfter whether a rejection may tell the client when to retry
 * @param maxAttempts the maximum number of attempts of one request
 * @param maxInFlight the maximum number of requests in flight at one router
 * @param maxRetryAfterUs the longest retry-after time of a rejection
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
    /** Returns a retry-after time, limited to the permitted maximum, us; 0 where rejections carry none. */
    public long retryAfterUs(long wantedUs) {
        return maySendRetryAfter ? Math.min(maxRetryAfterUs, wantedUs) : 0;
    }

    /** Returns the same limits with another maximum number of requests in flight. */
    RequestLimits withMaxInFlight(int value) {
        return new RequestLimits(
                mayCancel,
                mayHedge,
                mayMessagePeers,
                mayCheckHealth,
                maySendRetryAfter,
                maxAttempts,
                value,
                maxRetryAfterUs,
                connectTimeoutUs);
    }

    /** Returns a builder with the required values; the other values have their defaults. */
    public static Builder builder(int maxAttempts) {
        return new Builder(maxAttempts);
    }

    /** Builder of {@link RequestLimits}; not thread-safe. */
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

        /** Returns the request limits. */
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
