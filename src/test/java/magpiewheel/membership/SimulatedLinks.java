package magpiewheel.membership;

import java.util.Arrays;

/** The links of a simulated fleet: which datagrams and probes between two members are blocked. */
final class SimulatedLinks {
    private final int memberCount;
    private final boolean[] outboundCut;
    private final boolean[] inboundCut;
    private final int[] sideOf;
    private final boolean[][] oneWayCut;
    private final boolean[][] filtered;

    SimulatedLinks(int memberCount) {
        this.memberCount = memberCount;
        outboundCut = new boolean[memberCount];
        inboundCut = new boolean[memberCount];
        sideOf = new int[memberCount];
        oneWayCut = new boolean[memberCount][];
        filtered = new boolean[memberCount][];
    }

    /** Blocks or restores everything that a member sends. */
    void setOutboundCut(int member, boolean cut) {
        outboundCut[member] = cut;
    }

    /** Blocks or restores everything sent to a member. */
    void setInboundCut(int member, boolean cut) {
        inboundCut[member] = cut;
    }

    /** Blocks or restores one direction between two members. */
    void setOneWayCut(int from, int to, boolean cut) {
        if (oneWayCut[from] == null) {
            oneWayCut[from] = new boolean[memberCount];
        }
        oneWayCut[from][to] = cut;
    }

    /**
     * Places a filter between two members: no datagrams pass, and it refuses probes by the first in the name of the
     * second, whether that runs or not.
     */
    void addFilter(int from, int to) {
        setOneWayCut(from, to, true);
        setOneWayCut(to, from, true);
        if (filtered[from] == null) {
            filtered[from] = new boolean[memberCount];
        }
        filtered[from][to] = true;
    }

    /** Whether a filter refuses probes by one member in the name of another. */
    boolean forgesRefusals(int from, int to) {
        return filtered[from] != null && filtered[from][to];
    }

    /** Splits the fleet into sides, given for each member. */
    void split(int... sides) {
        System.arraycopy(sides, 0, sideOf, 0, sideOf.length);
    }

    /** Restores all links and removes all filters; killed processes stay dead. */
    void heal() {
        Arrays.fill(sideOf, 0);
        Arrays.fill(outboundCut, false);
        Arrays.fill(inboundCut, false);
        Arrays.fill(oneWayCut, null);
        Arrays.fill(filtered, null);
    }

    /** Whether datagrams from one member to another are currently blocked. */
    boolean isCut(int from, int to) {
        return sideOf[from] != sideOf[to]
                || outboundCut[from]
                || inboundCut[to]
                || oneWayCut[from] != null && oneWayCut[from][to];
    }
}
