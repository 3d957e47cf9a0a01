package magpiewheel.routing;

/**
 * One endpoint in discovery's list.
 *
 * @param kind its kind of machine, by which caches, parents and the origin are told apart
 * @param startedUs when it started; 0 for one that has run for long
 * @param cell the part of its zone in which idempotency keys may be shared
 */
public record EndpointInfo(long id, int kind, long startedUs, int zone, double weight, EndpointState state, int cell) {

    /** Starts an endpoint info with what it can't do without; all else has its preset. */
    public static Builder builder(long id, int kind, int zone) {
        return new Builder(id, kind, zone);
    }

    /** Collects the parts of an endpoint info; for one thread. */
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

        /** The endpoint info as set so far. */
        public EndpointInfo build() {
            return new EndpointInfo(id, kind, startedUs, zone, weight, state, cell);
        }
    }
}
