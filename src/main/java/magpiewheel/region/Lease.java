package magpiewheel.region;

/**
 * A router may rely on this until {@code untilUs} of its own clock: the parent {@code leader} leads the region in this
 * term.
 *
 * @param leadingSinceUs since when the parent leads, by the clock of this router
 */
record Lease(long term, long leader, long untilUs, long leadingSinceUs, RegionMessage.Placement placement) {
    /** Interval at which a holder renews its lease. */
    static final long RENEWAL_US = 100_000;
    /** How long a voter promises to support no other leader, counted from its vote. */
    static final long PROMISE_US = 700_000;
    /** Lower bound of the ratio of two clock rates: each clock may deviate by 1% either way. */
    static final double CLOCK_RATE_RATIO = 0.98;
    /**
     * How long a holder relies on its lease, counted from its request: the promise, shortened by the possible
     * difference of the clock rates.
     */
    static final long VALIDITY_US = (long) (PROMISE_US * CLOCK_RATE_RATIO) - 1;
    /**
     * A restarted process may have voted just before its restart. After this time that promise has expired by any
     * clock.
     */
    static final long STARTUP_SILENCE_US = (long) (PROMISE_US / CLOCK_RATE_RATIO) + 1;
}
