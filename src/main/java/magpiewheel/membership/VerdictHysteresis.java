package magpiewheel.membership;

/**
 * Partition verdict with hysteresis: a worse observation has to hold for a while before it is adopted, a better one for
 * longer.
 */
final class VerdictHysteresis {
    private final long worseAfterUs;
    private final long betterAfterUs;
    private PartitionVerdict current = PartitionVerdict.COMPLETE;
    private PartitionVerdict observed = PartitionVerdict.COMPLETE;
    private long worseSince;
    private long betterSince;

    VerdictHysteresis(long worseAfterUs, long betterAfterUs) {
        this.worseAfterUs = worseAfterUs;
        this.betterAfterUs = betterAfterUs;
    }

    /** Records an observation. Returns the resulting verdict. */
    PartitionVerdict update(long now, PartitionVerdict observation) {
        if (observation.compareTo(current) > 0) {
            if (observed.compareTo(current) <= 0) {
                worseSince = now;
            }
            if (now - worseSince >= worseAfterUs) {
                current = observation;
            }
        } else if (observation.compareTo(current) < 0) {
            if (observed.compareTo(current) >= 0) {
                betterSince = now;
            }
            if (now - betterSince >= betterAfterUs) {
                current = observation;
            }
        }
        observed = observation;
        return current;
    }

    PartitionVerdict current() {
        return current;
    }
}
