package magpiewheel.routing;

/** Smoothing weights and expiry times that several averages of the routing decisions share. */
final class Smoothing {
    /** Weight of the newest sample, where about the last ten samples count. */
    static final double RECENT_WEIGHT = 0.1;
    /** Weight of the newest sample, where about the last fifty samples count. */
    static final double LONG_TERM_WEIGHT = RECENT_WEIGHT / 5;
    /**
     * How long after its last measurement a latency is forgotten, in microseconds: one slow period must not exclude a
     * source for good.
     */
    static final long LATENCY_MEMORY_US = 2_000_000;

    private Smoothing() {}
}
