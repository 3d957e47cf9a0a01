package magpiewheel.discovery;

import java.util.concurrent.TimeUnit;

/**
 * Estimates how late the frames of a connection arrive: the first by its request, the later ones by the interval at
 * which empty frames are sent. Small deviations from the interval are the service's own; only gaps and bursts change
 * the estimate.
 */
final class FrameDelay {
    private static final long INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.FRAME_INTERVAL_MS);
    private static final long GAP_NS = TimeUnit.MILLISECONDS.toNanos(DiscoveryTimeouts.SUSPECT_AFTER_MS);
    private static final long BURST_NS = INTERVAL_NS / 2;

    private final long requestedNs;
    private long delayNs = -1;
    private long lastEmptyNs;

    /** Starts with the request for events, at a time of {@link System#nanoTime}. */
    FrameDelay(long requestedNs) {
        this.requestedNs = requestedNs;
        this.lastEmptyNs = requestedNs;
    }

    /** Records the arrival of a frame. */
    void frameReceived(DiscoveryFrame frame, long nowNs) {
        if (delayNs < 0) {
            delayNs = nowNs - requestedNs;
        } else if (frame.isEmpty()) {
            adjust(nowNs - lastEmptyNs);
        }
        if (frame.isEmpty()) {
            lastEmptyNs = nowNs;
        }
    }

    private void adjust(long sinceLastEmptyNs) {
        if (sinceLastEmptyNs > GAP_NS) {
            delayNs += sinceLastEmptyNs - INTERVAL_NS;
        } else if (sinceLastEmptyNs < BURST_NS) {
            delayNs = Math.max(0, delayNs - (INTERVAL_NS - sinceLastEmptyNs));
        }
    }

    /** Returns the estimate, us. */
    long us() {
        return TimeUnit.NANOSECONDS.toMicros(delayNs);
    }
}
