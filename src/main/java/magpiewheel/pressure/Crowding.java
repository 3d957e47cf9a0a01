package magpiewheel.pressure;

import java.util.List;

/**
 * Whether a branch's link in is crowded, from the bytes of the fills that this front saw. Fronts of a branch see a part
 * each: the front's share of the link is what it is measured against. Crowded from a high share over a whole interval
 * on, no longer once several intervals in a row were below a lower one.
 */
public final class Crowding {
    /** What changed, or {@code SAME}. */
    public enum Change {
        SAME,
        ENTERED,
        LEFT,
        STILL
    }

    private static final double ENTER = 0.8;
    private static final double LEAVE = 0.6;
    private static final int QUIET_INTERVALS = 5;
    private static final int COUNTERS = 128;
    private final long intervalMs;
    private final double octetsPerS;
    private final HeavyHitters hitters = new HeavyHitters(COUNTERS);
    private long began = Long.MIN_VALUE;
    private long octets;
    private double share;
    private boolean crowded;
    private int quiet;

    /** Of a link that carries so much for this front; 0 where that is not told, and then it is never crowded. */
    public Crowding(long intervalMs, double octetsPerS) {
        this.intervalMs = intervalMs;
        this.octetsPerS = octetsPerS;
    }

    /** A fill brought some bytes of an object. */
    public void filled(long object, long bytes) {
        octets += bytes;
        hitters.add(object, bytes);
    }

    /** Judges, if an interval is over. */
    public Change at(long nowMs) {
        if (began == Long.MIN_VALUE || nowMs < began) {
            began = nowMs;
            return Change.SAME;
        }
        if (nowMs - began < intervalMs) {
            return Change.SAME;
        }
        share = octetsPerS <= 0 ? 0 : octets * 1_000.0 / (nowMs - began) / octetsPerS;
        began = nowMs;
        octets = 0;
        Change change = crowded ? Change.STILL : Change.SAME;
        if (!crowded && share >= ENTER) {
            crowded = true;
            quiet = 0;
            change = Change.ENTERED;
        } else if (crowded) {
            quiet = share < LEAVE ? quiet + 1 : 0;
            if (quiet >= QUIET_INTERVALS) {
                crowded = false;
                change = Change.LEFT;
            }
        }
        hitters.fade();
        return change;
    }

    /** Whether it is crowded now. */
    public boolean crowded() {
        return crowded;
    }

    /** The share of the link in the last whole interval. */
    public double share() {
        return share;
    }

    /** What drew most of it lately. */
    public List<HeavyHitters.Hitter> top(int count) {
        return hitters.top(count);
    }
}
