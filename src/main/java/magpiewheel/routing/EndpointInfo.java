package magpiewheel.routing;

/**
 * One endpoint in the list from discovery.
 *
 * @param kind the machine kind, which distinguishes caches, parents and the origin
 * @param startedUs the time at which it started; 0 where it has been running longer than its warm-up
 * @param weight the weight; see {@link WeightSource}
 * @param cell the subdivision of its zone within which idempotency keys may be shared
 */
public record EndpointInfo(long id, int kind, long startedUs, int zone, double weight, EndpointState state, int cell) {

    /** Returns a builder with the required values; the other values have their defaults. */
    public static Builder builder(long id, int kind, int zone) {
        return new Builder(id, kind, zone);
    }

    /** Builder of {@link EndpointInfo}; not thread-safe. */
    public static final class Builder {
        private final long id;
        private final int kind;
        private final int zone;
        private long startedUs;
        private double weight = 1;
        private EndpointState state = EndpointState.READY;
        private int cell;

        private Builder(long id, int kind, int zone) {
            this.id = id;
            this.kind = kind;
            this.zone = zone;
        }

        /** Sets {@link EndpointInfo#startedUs}. */
        public Builder startedUs(long value) {
            startedUs = value;
            return this;
        }

        /** Sets {@link EndpointInfo#weight}. */
        public Builder weight(double value) {
            weight = value;
            return this;
        }

        /** Sets {@link EndpointInfo#state}. */
        public Builder state(EndpointState value) {
            state = value;
            return this;
        }

        /** Sets {@link EndpointInfo#cell}. */
        public Builder cell(int value) {
            cell = value;
            return this;
        }

        /** Returns the endpoint info. */
        public EndpointInfo build() {
            return new EndpointInfo(id, kind, startedUs, zone, weight, state, cell);
        }
    }
}
