package magpiewheel.region;

/**
 * What a router may rely on until {@code untilUs} of its own clock: this parent leads the region in this term.
 *
 * @param leadingSinceUs since when the parent leads, by this router's clock
 */
record Lease(long term, long leader, long untilUs, long leadingSinceUs, RegionMessage.Placement placement) {
    /** How often a holder renews its lease. */
    static final long RENEWAL_US = 100_000;
    /** A voter promises to support no other leader for so long, from its vote. */
    static final long PROMISE_US = 700_000;
    /** The clocks of two routers may differ in rate by 1% either way, so by this together. */
    static final double CLOCK_RATE_RATIO = 0.98;
    /** A holder relies on it for so long, from its request: shorter by what the clocks may differ. */
    static final long VALIDITY_US = (long) (PROMISE_US * CLOCK_RATE_RATIO) - 1;
    /** A process that starts may have voted just before: its promise has expired by any clock after this. */
    static final long STARTUP_SILENCE_US = (long) (PROMISE_US / CLOCK_RATE_RATIO) + 1;
}
