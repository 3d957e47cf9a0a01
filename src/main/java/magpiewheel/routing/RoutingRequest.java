package magpiewheel.routing;

import magpiewheel.staleness.ReadHint;

/**
 * A client's request.
 *
 * @param group the purge group of its object
 * @param sizeKb the size of the object; 0 where it is unknown
 * @param timeBudgetUs the time that the client leaves; 0 for the class's deadline
 * @param part the part of the object that is requested
 * @param clientRetry whether the client retries an earlier request
 */
public record RoutingRequest(
        long id,
        int requestClass,
        int tenant,
        int group,
        double sizeKb,
        long timeBudgetUs,
        int part,
        long objectId,
        boolean clientRetry,
        boolean write,
        ReadHint hint) {

    /** Starts a routing request with what it can't do without; all else has its preset. */
    public static Builder builder(long id, int requestClass, long objectId) {
        return new Builder(id, requestClass, objectId);
    }

    /** Collects the parts of a routing request; for one thread. */
    public static final class Builder {
        private final long id;
        private final int requestClass;
        private final long objectId;
        private int tenant;
        private int group;
        private double sizeKb;
        private long timeBudgetUs;
        private int part;
        private boolean clientRetry;
        private boolean write;
        private ReadHint hint = ReadHint.NONE;

        private Builder(long id, int requestClass, long objectId) {
            this.id = id;
            this.requestClass = requestClass;
            this.objectId = objectId;
        }

        /** Sets {@link RoutingRequest#tenant}. */
        public Builder tenant(int value) {
            tenant = value;
            return this;
        }

        /** Sets {@link RoutingRequest#group}. */
        public Builder group(int value) {
            group = value;
            return this;
        }

        /** Sets {@link RoutingRequest#sizeKb}. */
        public Builder sizeKb(double value) {
            sizeKb = value;
            return this;
        }

        /** Sets {@link RoutingRequest#timeBudgetUs}. */
        public Builder timeBudgetUs(long value) {
            timeBudgetUs = value;
            return this;
        }

        /** Sets {@link RoutingRequest#part}. */
        public Builder part(int value) {
            part = value;
            return this;
        }

        /** Sets {@link RoutingRequest#clientRetry}. */
        public Builder clientRetry(boolean value) {
            clientRetry = value;
            return this;
        }

        /** Sets {@link RoutingRequest#write}. */
        public Builder write(boolean value) {
            write = value;
            return this;
        }

        /** Sets {@link RoutingRequest#hint}. */
        public Builder hint(ReadHint value) {
            hint = value;
            return this;
        }

        /** The routing request as set so far. */
        public RoutingRequest build() {
            return new RoutingRequest(
                    id, requestClass, tenant, group, sizeKb, timeBudgetUs, part, objectId, clientRetry, write, hint);
        }
    }
}
