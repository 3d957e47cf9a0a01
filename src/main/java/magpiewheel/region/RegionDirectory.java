package magpiewheel.region;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load of each zone and the leaders of other regions, which all routers exchange regardless of their region. The
 * later version wins, so that routers that received the same updates hold the same values.
 */
final class RegionDirectory {
    /** Relative change of a zone's load that is announced once it has lasted for {@link #CHANGE_DURATION_US}. */
    static final double SIGNIFICANT_CHANGE = 0.25;

    /** How long a significant change must last before it is announced. */
    static final long CHANGE_DURATION_US = 3_000_000;
    /** How long a claim is valid after it was made. */
    static final long CLAIM_VALID_US = 6_000_000;

    private record ReceivedClaim(RegionMessage.LeadershipClaim claim, long claimedAt) {}

    private final double[] loads;
    private final long[] versions;
    private final int[] homeSlots;
    private final Map<Integer, ReceivedClaim> claims = new HashMap<>();
    private long differsSince = Long.MAX_VALUE;
    private int nextLoad;
    private int nextClaim;

    /** Creates a directory with assumed loads, which apply until loads have been measured. */
    RegionDirectory(double[] assumedLoads) {
        this.loads = assumedLoads.clone();
        this.versions = new long[assumedLoads.length];
        this.homeSlots = new int[assumedLoads.length];
        java.util.Arrays.fill(homeSlots, -1);
    }

    double[] loads() {
        return loads.clone();
    }

    int[] homeSlots() {
        return homeSlots.clone();
    }

    /** Sets the slot of the own zone, which this router announces; returns whether it changed. */
    boolean setHomeSlot(int zone, int slot) {
        if (homeSlots[zone] == slot) {
            return false;
        }
        homeSlots[zone] = slot;
        versions[zone]++;
        return true;
    }

    /**
     * Records the measured load of the own zone, which this router announces; returns whether the announced load
     * changed.
     */
    boolean loadMeasured(long now, int zone, double load) {
        boolean differs = Math.abs(load - loads[zone]) > SIGNIFICANT_CHANGE * Math.max(loads[zone], 1e-9);
        differsSince = differs ? Math.min(differsSince, now) : Long.MAX_VALUE;
        if (!differs || now - differsSince < CHANGE_DURATION_US) {
            return false;
        }
        differsSince = Long.MAX_VALUE;
        loads[zone] = (float) load;
        versions[zone]++;
        return true;
    }

    /** Records the claim that a parent leads this router's region. */
    void claim(long now, RegionMessage.LeadershipClaim claim) {
        claims.put(claim.regionKey(), new ReceivedClaim(claim, now));
    }

    /** Merges an update of another router; returns whether a load or a home slot changed. */
    boolean merge(long now, RegionMessage.DirectoryUpdate update) {
        boolean changed = false;
        for (RegionMessage.ZoneLoad load : update.loads()) {
            int zone = load.zone();
            // Of equal versions from two routers the greater load wins, then the greater slot, so that all agree.
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
            ReceivedClaim old = claims.get(claim.regionKey());
            long claimedAt = now - claim.agoUs();
            if (old == null
                    || claim.term() > old.claim().term()
                    || claim.term() == old.claim().term() && claimedAt > old.claimedAt()) {
                claims.put(claim.regionKey(), new ReceivedClaim(claim, claimedAt));
            }
        }
        claims.values().removeIf(received -> now - received.claimedAt() > CLAIM_VALID_US);
        return changed;
    }

    /**
     * Returns the known load of other regions that a parent leads; {@code lowerKeysOnly} counts only the regions with
     * lower keys.
     */
    double claimedLoad(long now, long parent, int regionKey, boolean lowerKeysOnly) {
        return claims.values().stream()
                .filter(received -> received.claim().leader() == parent
                        && now - received.claimedAt() <= CLAIM_VALID_US
                        && (lowerKeysOnly
                                ? received.claim().regionKey() < regionKey
                                : received.claim().regionKey() != regionKey))
                .mapToDouble(received -> received.claim().load())
                .sum();
    }

    /** Returns the next update to send; successive updates cover all entries in turn. */
    RegionMessage.DirectoryUpdate nextUpdate(long now, RegionMessage.Header header) {
        List<RegionMessage.ZoneLoad> zoneLoads = new ArrayList<>();
        for (int i = 0; i < loads.length && zoneLoads.size() < RegionMessageCodec.MAX_LOADS; i++) {
            int zone = nextLoad++ % loads.length;
            if (versions[zone] > 0) {
                zoneLoads.add(new RegionMessage.ZoneLoad(zone, versions[zone], loads[zone], homeSlots[zone]));
            }
        }
        List<ReceivedClaim> validClaims = claims.values().stream()
                .filter(received -> now - received.claimedAt() <= CLAIM_VALID_US)
                .toList();
        List<RegionMessage.LeadershipClaim> claimsToSend = new ArrayList<>();
        for (int i = 0; i < Math.min(validClaims.size(), RegionMessageCodec.MAX_CLAIMS); i++) {
            ReceivedClaim next = validClaims.get(nextClaim++ % validClaims.size());
            RegionMessage.LeadershipClaim claim = next.claim();
            claimsToSend.add(new RegionMessage.LeadershipClaim(
                    claim.regionKey(), claim.term(), claim.leader(), claim.load(), now - next.claimedAt()));
        }
        return new RegionMessage.DirectoryUpdate(header, zoneLoads, claimsToSend);
    }
}
