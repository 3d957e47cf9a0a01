package magpiewheel.routing;

import java.util.Arrays;
import magpiewheel.membership.MembershipConfig;

/**
 * This router's identity, its zone, and the zones, links and machine kinds of its site.
 *
 * @param routers the number of routers of the site
 * @param zone this router's zone
 * @param routersByZone the number of routers that the clients of each zone can reach
 * @param hubByZone the hub that each zone is attached to
 * @param linkKbPerSByZone the capacity of the link into each zone, KB/s
 * @param parentKind the machine kind of parents; {@link #NO_KIND} where there are none
 * @param originKind the machine kind of the origin; {@link #NO_KIND} where there is none
 * @param transferKbPerS the transfer rate of a client, KB/s; 0 where the settings do not specify it
 */
public record RouterTopology(
        int routerId,
        int routers,
        int zone,
        int[] routersByZone,
        int[] hubByZone,
        double[] linkKbPerSByZone,
        int parentKind,
        int originKind,
        double transferKbPerS) {
    /** Machine kind of a tier that the site does not have. */
    public static final int NO_KIND = -1;

    /** Returns the number of routers that the clients of a zone can reach, at least 1. */
    public int routersIn(int ofZone) {
        return Math.max(1, ofZone < routersByZone.length ? routersByZone[ofZone] : routers);
    }

    /**
     * Returns the configuration of this router's membership.
     *
     * @param address the IPv4 address that clients are given for this router
     * @param heartbeatUs the heartbeat interval, us
     * @param startedMs the Unix millisecond at which this process started
     * @param reachabilityProbes whether silent routers are probed
     */
    public MembershipConfig membershipConfig(
            int address, long heartbeatUs, long startedMs, boolean reachabilityProbes) {
        return new MembershipConfig(
                routerId, routers, zone, address, routersByZone, heartbeatUs, startedMs, reachabilityProbes);
    }

    /**
     * Returns the concurrent client transfers that the links into all zones carry; 0 where a client's rate is unknown.
     */
    double transferCapacityOfAllLinks() {
        return transferKbPerS > 0 ? Arrays.stream(linkKbPerSByZone).sum() / transferKbPerS : 0;
    }

    /**
     * Returns the concurrent client transfers that the link into this zone carries; 0 where a client's rate is unknown.
     */
    double transferCapacityOfOwnLink() {
        return transferKbPerS > 0 && zone < linkKbPerSByZone.length ? linkKbPerSByZone[zone] / transferKbPerS : 0;
    }

    /** Returns a builder with the required values; the other values have their defaults. */
    public static Builder builder(int routerId, int routers, int zone) {
        return new Builder(routerId, routers, zone);
    }

    /** Builder of {@link RouterTopology}; not thread-safe. */
    public static final class Builder {
        private final int routerId;
        private final int routers;
        private final int zone;
        private int[] routersByZone = new int[0];
        private int[] hubByZone = new int[0];
        private double[] linkKbPerSByZone = new double[0];
        private int parentKind = NO_KIND;
        private int originKind = NO_KIND;
        private double transferKbPerS;

        private Builder(int routerId, int routers, int zone) {
            this.routerId = routerId;
            this.routers = routers;
            this.zone = zone;
        }

        /** Sets {@link RouterTopology#routersByZone}. */
        public Builder routersByZone(int[] value) {
            routersByZone = value;
            return this;
        }

        /** Sets {@link RouterTopology#hubByZone}. */
        public Builder hubByZone(int[] value) {
            hubByZone = value;
            return this;
        }

        /** Sets {@link RouterTopology#linkKbPerSByZone}. */
        public Builder linkKbPerSByZone(double[] value) {
            linkKbPerSByZone = value;
            return this;
        }

        /** Sets {@link RouterTopology#parentKind}. */
        public Builder parentKind(int value) {
            parentKind = value;
            return this;
        }

        /** Sets {@link RouterTopology#originKind}. */
        public Builder originKind(int value) {
            originKind = value;
            return this;
        }

        /** Sets {@link RouterTopology#transferKbPerS}. */
        public Builder transferKbPerS(double value) {
            transferKbPerS = value;
            return this;
        }

        /** Returns the router topology. */
        public RouterTopology build() {
            return new RouterTopology(
                    routerId,
                    routers,
                    zone,
                    routersByZone,
                    hubByZone,
                    linkKbPerSByZone,
                    parentKind,
                    originKind,
                    transferKbPerS);
        }
    }
}
