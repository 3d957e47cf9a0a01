package magpiewheel.routing;

import magpiewheel.staleness.ReadHint;

/**
 * A client's request.
 *
 * @param requestClass the index of its request class
 * @param tenant the index of its tenant
 * @param group the purge group of its object
 * @param sizeKb the size of the object; 0 where it is unknown
 * @param timeBudgetUs the client's time budget; 0 for the deadline of the request class
 * @param part the requested part of the object
 * @param clientRetry whether the client retries an earlier request
 * @param hint the read hint; {@link ReadHint#NONE} where the client sent none
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

    /** Returns a builder with the required values; the other values have their defaults. */
    public static Builder builder(long id, int requestClass, long objectId) {
        return new Builder(id, requestClass, objectId);
    }

    /** Builder of {@link RoutingRequest}; not thread-safe. */
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

        /** Returns the routing request. */
        public RoutingRequest build() {
            return new RoutingRequest(
                    id, requestClass, tenant, group, sizeKb, timeBudgetUs, part, objectId, clientRetry, write, hint);
        }
    }
}
