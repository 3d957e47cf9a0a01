package magpiewheel.routing;

import java.util.Arrays;
import magpiewheel.membership.MembershipConfig;

/**
 * Which router this is, and where it stands.
 *
 * @param routers how many routers the site has
 * @param routersByZone how many routers the clients of each zone reach
 * @param hubByZone the hub that each zone is attached to
 * @param linkKbPerSByZone the capacity of the link into each zone
 * @param parentKind the kind of machine that is a parent; {@link #NO_KIND} where there is none
 * @param originKind the kind of machine that is the origin; {@link #NO_KIND} where there is none
 * @param transferKbPerS the pace of a client's transfer; 0 where the settings do not say
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
    /** In the place of a kind of endpoints that the settings do not have. */
    public static final int NO_KIND = -1;

    /** How many routers the clients of a zone reach. */
    public int routersIn(int ofZone) {
        return Math.max(1, ofZone < routersByZone.length ? routersByZone[ofZone] : routers);
    }

    /**
     * The configuration of this router's membership.
     *
     * @param address the IPv4 address that clients are given
     * @param heartbeatUs from one heartbeat to the next
     * @param startedMs the Unix millisecond at which this process started
     * @param reachabilityProbes whether silent routers are probed
     */
    public MembershipConfig membershipConfig(
            int address, long heartbeatUs, long startedMs, boolean reachabilityProbes) {
        return new MembershipConfig(
                routerId, routers, zone, address, routersByZone, heartbeatUs, startedMs, reachabilityProbes);
    }

    /** Transfers at a client's pace that the links into all zones carry; 0 where the pace is unknown. */
    double transferCapacityOfAllLinks() {
        return transferKbPerS > 0 ? Arrays.stream(linkKbPerSByZone).sum() / transferKbPerS : 0;
    }

    /** Transfers at a client's pace that the link into the own zone carries; 0 where the pace is unknown. */
    double transferCapacityOfOwnLink() {
        return transferKbPerS > 0 && zone < linkKbPerSByZone.length ? linkKbPerSByZone[zone] / transferKbPerS : 0;
    }

    /** Starts a router topology with what it can't do without; all else has its preset. */
    public static Builder builder(int routerId, int routers, int zone) {
        return new Builder(routerId, routers, zone);
    }

    /** Collects the parts of a router topology; for one thread. */
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

        /** The router topology as set so far. */
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
