package magpiewheel.staleness;

/**
 * The staleness bound of a read.
 *
 * @param oldestAcceptableUs the oldest acceptable origin time, by what was known when the bound was set
 * @param provable whether a strict read can be proven at all; else it is rejected at once
 * @param strict whether a copy that violates the bound may not be delivered
 * @param notBeforeUs the origin time of the mark or purge alone
 * @param requestedAt when the request came
 * @param maxAgeUs the age that is allowed at that time; 0 for any
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
    /** Nothing asked. */
    public static final StalenessBound NONE = new StalenessBound(0, true, false);

    /** A bound that no clock has a part in. */
    public StalenessBound(long oldestAcceptableUs, boolean provable, boolean strict) {
        this(oldestAcceptableUs, provable, strict, oldestAcceptableUs, 0, 0, 0);
    }

    /** Whether anything is asked. */
    public boolean isBounded() {
        return oldestAcceptableUs > 0 || maxAgeUs > 0 || strict;
    }
}
