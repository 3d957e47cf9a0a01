package magpiewheel.staleness;

/**
 * The staleness bound of a read.
 *
 * @param oldestAcceptableUs the oldest acceptable origin time, by what was known when the bound was computed
 * @param provable whether a strict read can be proven at all; otherwise it is rejected at once
 * @param strict whether the read fails rather than deliver a copy that violates the bound
 * @param notBeforeUs the oldest origin time that the mark and the last purge allow, whatever the age
 * @param requestedAt when the request arrived, us
 * @param maxAgeUs the maximum age of a copy at that time; 0 for no limit
 * @param freshUs the fresh time of the request's class
 */
public record StalenessBound(
        long oldestAcceptableUs,
        boolean provable,
        boolean strict,
        long notBeforeUs,
        long requestedAt,
        long maxAgeUs,
        long freshUs) {
    /** No bound. */
    public static final StalenessBound NONE = new StalenessBound(0, true, false);

    /** Creates a bound without a maximum age, which does not depend on the origin's clock. */
    public StalenessBound(long oldestAcceptableUs, boolean provable, boolean strict) {
        this(oldestAcceptableUs, provable, strict, oldestAcceptableUs, 0, 0, 0);
    }

    /** Whether the read has a staleness bound. */
    public boolean isBounded() {
        return oldestAcceptableUs > 0 || maxAgeUs > 0 || strict;
    }
}
