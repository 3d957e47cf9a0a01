package magpiewheel.region;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What all routers tell each other whatever their region: the load of each zone, and who leads elsewhere. The later
 * version counts, so that routers that heard the same know the same.
 */
final class RegionDirectory {
    /** A zone announces its load anew when it differs by this part for {@link #CHANGE_HOLDS_US}. */
    static final double SIGNIFICANT_CHANGE = 0.25;

    static final long CHANGE_HOLDS_US = 3_000_000;
    /** How long a claim counts after it was made. */
    static final long CLAIM_VALID_US = 6_000_000;

    private record Claimed(RegionMessage.LeadershipClaim claim, long at) {}

    private final double[] loads;
    private final long[] versions;
    private final int[] homeSlots;
    private final Map<Integer, Claimed> claims = new HashMap<>();
    private long differsSince = Long.MAX_VALUE;
    private int nextLoad;
    private int nextClaim;

    /** A directory with assumed loads, until any was measured. */
    RegionDirectory(double[] settings) {
        this.loads = settings.clone();
        this.versions = new long[settings.length];
        this.homeSlots = new int[settings.length];
        java.util.Arrays.fill(homeSlots, -1);
    }

    double[] loads() {
        return loads.clone();
    }

    int[] homeSlots() {
        return homeSlots.clone();
    }

    /** Sets the slot of the own zone, which its first router announces; returns whether it is new. */
    boolean setHomeSlot(int zone, int place) {
        if (homeSlots[zone] == place) {
            return false;
        }
        homeSlots[zone] = place;
        versions[zone]++;
        return true;
    }

    /** The load of the own zone was measured by the router that announces it; returns whether it changed. */
    boolean loadMeasured(long now, int zone, double load) {
        boolean differs = Math.abs(load - loads[zone]) > SIGNIFICANT_CHANGE * Math.max(loads[zone], 1e-9);
        differsSince = differs ? Math.min(differsSince, now) : Long.MAX_VALUE;
        if (!differs || now - differsSince < CHANGE_HOLDS_US) {
            return false;
        }
        differsSince = Long.MAX_VALUE;
        loads[zone] = (float) load;
        versions[zone]++;
        return true;
    }

    /** A parent leads this router's region. */
    void claim(long now, RegionMessage.LeadershipClaim claim) {
        claims.put(claim.region(), new Claimed(claim, now));
    }

    /** Merges an update of another router; returns whether a load changed. */
    boolean merge(long now, RegionMessage.DirectoryUpdate update) {
        boolean changed = false;
        for (RegionMessage.ZoneLoad load : update.loads()) {
            int zone = load.zone();
            // Equal versions of two routers: the greater load, then slot, so that all come to the same.
            if (zone < loads.length
                    && (load.version() > versions[zone]
                            || load.version() == versions[zone]
                                    && load.version() > 0
                                    && (load.load() > loads[zone]
                                            || load.load() == loads[zone] && load.homeSlot() > homeSlots[zone]))) {
                versions[zone] = load.version();
                changed |= loads[zone] != load.load() || homeSlots[zone] != load.homeSlot();
                homeSlots[zone] = load.homeSlot();
                loads[zone] = load.load();
            }
        }
        for (RegionMessage.LeadershipClaim claim : update.claims()) {
            Claimed old = claims.get(claim.region());
            long at = now - claim.agoUs();
            if (old == null
                    || claim.term() > old.claim().term()
                    || claim.term() == old.claim().term() && at > old.at()) {
                claims.put(claim.region(), new Claimed(claim, at));
            }
        }
        claims.values().removeIf(claimed -> now - claimed.at() > CLAIM_VALID_US);
        return changed;
    }

    /**
     * The load of other regions that a parent leads, as far as is known; {@code lowerKeysOnly} counts only those of
     * lower keys.
     */
    double claimedLoad(long now, long parent, int region, boolean lowerKeysOnly) {
        return claims.values().stream()
                .filter(c -> c.claim().leader() == parent
                        && now - c.at() <= CLAIM_VALID_US
                        && (lowerKeysOnly
                                ? c.claim().region() < region
                                : c.claim().region() != region))
                .mapToDouble(c -> c.claim().load())
                .sum();
    }

    /** The next update to send, of all entries in turn. */
    RegionMessage.DirectoryUpdate nextUpdate(long now, RegionMessage.Header head) {
        List<RegionMessage.ZoneLoad> announced = new ArrayList<>();
        for (int i = 0; i < loads.length && announced.size() < RegionMessageCodec.MAX_LOADS; i++) {
            int zone = nextLoad++ % loads.length;
            if (versions[zone] > 0) {
                announced.add(new RegionMessage.ZoneLoad(zone, versions[zone], loads[zone], homeSlots[zone]));
            }
        }
        List<Claimed> live = claims.values().stream()
                .filter(c -> now - c.at() <= CLAIM_VALID_US)
                .toList();
        List<RegionMessage.LeadershipClaim> claimed = new ArrayList<>();
        for (int i = 0; i < Math.min(live.size(), RegionMessageCodec.MAX_CLAIMS); i++) {
            Claimed one = live.get(nextClaim++ % live.size());
            RegionMessage.LeadershipClaim claim = one.claim();
            claimed.add(new RegionMessage.LeadershipClaim(
                    claim.region(), claim.term(), claim.leader(), claim.load(), now - one.at()));
        }
        return new RegionMessage.DirectoryUpdate(head, announced, claimed);
    }
}
