package magpiewheel.routing;

import magpiewheel.region.SlowStartProfile;

/** What the simulated sites have in common: limits, and the rules' notice times. */
final class SimulatedSite {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final int MAX_IN_FLIGHT = 20_000;

    private SimulatedSite() {}

    /** Routers may cancel attempts, message their peers and advise clients how long to wait. */
    static RequestLimits.Builder limits(int maxAttempts) {
        return RequestLimits.builder(maxAttempts)
                .mayCancel(true)
                .mayMessagePeers(true)
                .maySendRetryAfter(true)
                .maxInFlight(MAX_IN_FLIGHT)
                .maxRetryAfterUs(SECOND)
                .connectTimeoutUs(400 * MS);
    }

    /** A drain binds after 500 ms, a purge after 300 ms, and is complete after 6 s. */
    static SafetyLimits safetyLimits(SlowStartProfile cache, SlowStartProfile parent) {
        return new SafetyLimits(500 * MS, 300 * MS, 6 * SECOND, cache, parent);
    }
}
