package magpiewheel.routing;

/** Weights and memories that several averages of the routing decisions share. */
final class Smoothing {
    /** Weight of the newest sample: about the last ten samples count. */
    static final double RECENT_WEIGHT = 0.1;
    /** Weight of the newest sample where about the last fifty samples count. */
    static final double LONG_TERM_WEIGHT = RECENT_WEIGHT / 5;
    /** us; latency that was not measured again for so long is forgotten: one bad spell must not exclude a source. */
    static final long LATENCY_MEMORY_US = 2_000_000;

    private Smoothing() {}
}
