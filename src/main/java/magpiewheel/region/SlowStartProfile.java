package magpiewheel.region;

/**
 * How a parent bears load after its start, as the settings have it: from a part {@code from} of its capacity it warms
 * up in {@code warmUpUs}; more than {@code multiple} of what it bears, within {@code tipAfterUs}, makes it fall.
 */
public record SlowStartProfile(double from, long warmUpUs, double multiple, long tipAfterUs) {
    /** The same profile with another time within which too much work makes it fall. */
    public SlowStartProfile withOverloadWindow(long windowUs) {
        return new SlowStartProfile(from, warmUpUs, multiple, windowUs);
    }

    /** The part of its capacity that it has so long after its start. */
    double present(long sinceUs) {
        double warmed = (double) Math.max(0, sinceUs) / Math.max(1, warmUpUs);
        return from + (1 - from) * Math.min(1, warmed);
    }

    /**
     * The work, for each transfer at once of its full capacity, that it bears within the time that makes it fall and
     * that ends so long after its start: all that time it is as at the beginning.
     */
    public double bears(long sinceUs) {
        return multiple * present(sinceUs - tipAfterUs) * tipAfterUs;
    }
}
