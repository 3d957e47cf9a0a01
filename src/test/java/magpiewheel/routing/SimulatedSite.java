package magpiewheel.routing;

import magpiewheel.region.SlowStartProfile;

/** Request limits and safety limits that the simulated sites share. */
final class SimulatedSite {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final int MAX_IN_FLIGHT = 20_000;

    private SimulatedSite() {}

    /** Returns limits under which routers may cancel attempts, send peer messages and set retry-after times. */
    static RequestLimits.Builder limits(int maxAttempts) {
        return RequestLimits.builder(maxAttempts)
                .mayCancel(true)
                .mayMessagePeers(true)
                .maySendRetryAfter(true)
                .maxInFlight(MAX_IN_FLIGHT)
                .maxRetryAfterUs(SECOND)
                .connectTimeoutUs(400 * MS);
    }

    /** Returns limits with drain notice 500 ms, purge notice 300 ms and purge completion 6 s. */
    static SafetyLimits safetyLimits(SlowStartProfile cache, SlowStartProfile parent) {
        return new SafetyLimits(500 * MS, 300 * MS, 6 * SECOND, cache, parent);
    }
}
