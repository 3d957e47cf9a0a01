package magpiewheel.routing;

/**
 * The properties that all requests of one class share.
 *
 * @param latencyObjectiveUs the latency objective, excluding transfer time
 * @param transferTimeFactor the multiple of a request's transfer time that is added to its objective
 * @param deadlineUs the deadline of a request, counted from its arrival
 * @param priorityWeight the priority weight of a response that meets its latency objective
 * @param latePriorityWeight the priority weight of a response that misses it
 * @param idempotencyWindowUs how long endpoints remember idempotency keys
 * @param streaming whether responses are streamed to the client
 * @param write whether its requests are writes
 * @param multipart whether objects are requested in parts
 * @param freshUs how long a copy is fresh; 0 where copies never become stale
 * @param staleGraceUs how long a stale copy may be served as a last resort
 * @param stalePriorityWeight the priority weight of a stale response
 */
public record RequestClass(
        long latencyObjectiveUs,
        double transferTimeFactor,
        long deadlineUs,
        double priorityWeight,
        double latePriorityWeight,
        Idempotency idempotency,
        IdempotencyKeyScope keyScope,
        long idempotencyWindowUs,
        boolean streaming,
        boolean write,
        boolean multipart,
        long freshUs,
        long staleGraceUs,
        double stalePriorityWeight) {

    /** Returns a builder with the required values; the other values have their defaults. */
    public static Builder builder(long latencyObjectiveUs, long deadlineUs) {
        return new Builder(latencyObjectiveUs, deadlineUs);
    }

    /** Builder of {@link RequestClass}; not thread-safe. */
    public static final class Builder {
        private final long latencyObjectiveUs;
        private final long deadlineUs;
        private double transferTimeFactor;
        private double priorityWeight = 1;
        private double latePriorityWeight;
        private Idempotency idempotency = Idempotency.IDEMPOTENT;
        private IdempotencyKeyScope keyScope = IdempotencyKeyScope.ALL;
        private long idempotencyWindowUs;
        private boolean streaming;
        private boolean write;
        private boolean multipart;
        private long freshUs;
        private long staleGraceUs;
        private double stalePriorityWeight = 1;

        private Builder(long latencyObjectiveUs, long deadlineUs) {
            this.latencyObjectiveUs = latencyObjectiveUs;
            this.deadlineUs = deadlineUs;
        }

        /** Sets {@link RequestClass#transferTimeFactor}. */
        public Builder transferTimeFactor(double value) {
            transferTimeFactor = value;
            return this;
        }

        /** Sets {@link RequestClass#priorityWeight}. */
        public Builder priorityWeight(double value) {
            priorityWeight = value;
            return this;
        }

        /** Sets {@link RequestClass#latePriorityWeight}. */
        public Builder latePriorityWeight(double value) {
            latePriorityWeight = value;
            return this;
        }

        /** Sets {@link RequestClass#idempotency}. */
        public Builder idempotency(Idempotency value) {
            idempotency = value;
            return this;
        }

        /** Sets {@link RequestClass#keyScope}. */
        public Builder keyScope(IdempotencyKeyScope value) {
            keyScope = value;
            return this;
        }

        /** Sets {@link RequestClass#idempotencyWindowUs}. */
        public Builder idempotencyWindowUs(long value) {
            idempotencyWindowUs = value;
            return this;
        }

        /** Sets {@link RequestClass#streaming}. */
        public Builder streaming(boolean value) {
            streaming = value;
            return this;
        }

        /** Sets {@link RequestClass#write}. */
        public Builder write(boolean value) {
            write = value;
            return this;
        }

        /** Sets {@link RequestClass#multipart}. */
        public Builder multipart(boolean value) {
            multipart = value;
            return this;
        }

        /** Sets {@link RequestClass#freshUs}. */
        public Builder freshUs(long value) {
            freshUs = value;
            return this;
        }

        /** Sets {@link RequestClass#staleGraceUs}. */
        public Builder staleGraceUs(long value) {
            staleGraceUs = value;
            return this;
        }

        /** Sets {@link RequestClass#stalePriorityWeight}. */
        public Builder stalePriorityWeight(double value) {
            stalePriorityWeight = value;
            return this;
        }

        /** Returns the request class. */
        public RequestClass build() {
            return new RequestClass(
                    latencyObjectiveUs,
                    transferTimeFactor,
                    deadlineUs,
                    priorityWeight,
                    latePriorityWeight,
                    idempotency,
                    keyScope,
                    idempotencyWindowUs,
                    streaming,
                    write,
                    multipart,
                    freshUs,
                    staleGraceUs,
                    stalePriorityWeight);
        }
    }
}
