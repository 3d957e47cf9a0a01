package magpiewheel.membership;

import java.util.Arrays;

/** The links of a simulated fleet: which datagrams and probes between two fronts are blocked. */
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

    /** Nothing that the front sends arrives. */
    void setOutboundCut(int member, boolean cut) {
        outboundCut[member] = cut;
    }

    /** Nothing arrives at the front. */
    void setInboundCut(int member, boolean cut) {
        inboundCut[member] = cut;
    }

    /** Blocks or opens one direction between two fronts. */
    void setOneWayCut(int from, int to, boolean cut) {
        if (oneWayCut[from] == null) {
            oneWayCut[from] = new boolean[memberCount];
        }
        oneWayCut[from][to] = cut;
    }

    /**
     * Places a filter between two fronts: nothing passes, and probes of the first are refused, whether the other runs
     * or not.
     */
    void addFilter(int from, int to) {
        setOneWayCut(from, to, true);
        setOneWayCut(to, from, true);
        if (filtered[from] == null) {
            filtered[from] = new boolean[memberCount];
        }
        filtered[from][to] = true;
    }

    /** Whether a filter refuses probes of one front in the name of another. */
    boolean forgesRefusals(int from, int to) {
        return filtered[from] != null && filtered[from][to];
    }

    /** Splits the fleet by the side of each front. */
    void split(int... sides) {
        System.arraycopy(sides, 0, sideOf, 0, sides.length);
    }

    /** All links are open again; a killed process stays dead. */
    void heal() {
        Arrays.fill(sideOf, 0);
        Arrays.fill(outboundCut, false);
        Arrays.fill(inboundCut, false);
        Arrays.fill(oneWayCut, null);
        Arrays.fill(filtered, null);
    }

    /** Whether nothing that one front sends arrives at another now. */
    boolean isCut(int from, int to) {
        return sideOf[from] != sideOf[to]
                || outboundCut[from]
                || inboundCut[to]
                || oneWayCut[from] != null && oneWayCut[from][to];
    }
}
