package magpiewheel.pressure;

/**
 * How many records may go out now. What comes in may always go out again; what was stored meanwhile goes out at a
 * bounded rate beside it, so that a collector that returns is not flooded.
 */
public final class DrainBudget {
    private final double storedPerS;
    private double credit;
    private long lastMs = Long.MIN_VALUE;

    /** Stored records drain at so many a second. */
    public DrainBudget(double storedPerS) {
        this.storedPerS = storedPerS;
    }

    /** Records allowed at a time when so many new ones came in since the last call. */
    public int allowed(long nowMs, int cameIn) {
        if (lastMs != Long.MIN_VALUE && nowMs > lastMs) {
            // Never more than a second's worth saved up, whatever the clock does.
            credit = Math.min(storedPerS, credit + storedPerS * (nowMs - lastMs) / 1_000.0);
        }
        lastMs = nowMs;
        return cameIn + (int) credit;
    }

    /** So many went out, of which so many were new. */
    public void spent(int records, int cameIn) {
        credit = Math.max(0, credit - Math.max(0, records - cameIn));
    }
}
