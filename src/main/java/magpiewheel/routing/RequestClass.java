package magpiewheel.routing;

/**
 * A class of requests.
 *
 * @param latencyObjectiveUs the latency objective of a request whose transfer takes no time
 * @param transferTimeFactor how often the transfer time of a request is added to the objective
 * @param priorityWeight what a response in time is worth
 * @param latePriorityWeight what a late response is worth
 * @param idempotencyWindowUs how long idempotency keys are remembered
 * @param multipart whether objects are requested in parts
 * @param freshUs how long copies are fresh; 0 where they never become stale
 * @param staleGraceUs how long a stale copy may be served as a last resort
 * @param stalePriorityWeight what a stale response is worth
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

    /** Starts a request class with what it can't do without; all else has its preset. */
    public static Builder builder(long latencyObjectiveUs, long deadlineUs) {
        return new Builder(latencyObjectiveUs, deadlineUs);
    }

    /** Collects the parts of a request class; for one thread. */
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

        /** The request class as set so far. */
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
