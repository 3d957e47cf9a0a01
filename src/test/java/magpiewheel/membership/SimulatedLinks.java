package magpiewheel.membership;

import java.util.Arrays;

/** The links of a simulated fleet: which datagrams and probes between two fronts are blocked. */
final class SimulatedLinks {
    private final int fronts;
    private final boolean[] mute;
    private final boolean[] deaf;
    private final int[] side;
    private final boolean[][] oneWay;
    private final boolean[][] filtered;

    SimulatedLinks(int fronts) {
        this.fronts = fronts;
        mute = new boolean[fronts];
        deaf = new boolean[fronts];
        side = new int[fronts];
        oneWay = new boolean[fronts][];
        filtered = new boolean[fronts][];
    }

    /** Nothing that the front sends arrives. */
    void mute(int front, boolean yes) {
        mute[front] = yes;
    }

    /** Nothing arrives at the front. */
    void deaf(int front, boolean yes) {
        deaf[front] = yes;
    }

    /** Blocks or opens one direction between two fronts. */
    void oneWay(int from, int to, boolean yes) {
        if (oneWay[from] == null) {
            oneWay[from] = new boolean[fronts];
        }
        oneWay[from][to] = yes;
    }

    /**
     * Places a filter between two fronts: nothing passes, and probes of the first are refused, whether the other runs
     * or not.
     */
    void filter(int from, int to) {
        oneWay(from, to, true);
        oneWay(to, from, true);
        if (filtered[from] == null) {
            filtered[from] = new boolean[fronts];
        }
        filtered[from][to] = true;
    }

    /** Whether a filter refuses probes of one front in the name of another. */
    boolean forgesRefusals(int from, int to) {
        return filtered[from] != null && filtered[from][to];
    }

    /** Splits the fleet by the side of each front. */
    void split(int... sides) {
        System.arraycopy(sides, 0, side, 0, side.length);
    }

    /** All links are open again; a killed process stays dead. */
    void heal() {
        Arrays.fill(side, 0);
        Arrays.fill(mute, false);
        Arrays.fill(deaf, false);
        Arrays.fill(oneWay, null);
        Arrays.fill(filtered, null);
    }

    /** Whether nothing that one front sends arrives at another now. */
    boolean cut(int from, int to) {
        return side[from] != side[to] || mute[from] || deaf[to] || oneWay[from] != null && oneWay[from][to];
    }
}
