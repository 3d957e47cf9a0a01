package magpiewheel.discovery;

import java.util.concurrent.TimeUnit;
import magpiewheel.staleness.DiscoveryContact;

/** How long a connection to the discovery service may be silent; all follow from the protocol's own figures. */
final class DiscoveryTimeouts {
    /** The service sends an empty frame this often, ms. */
    static final int FRAME_INTERVAL_MS = 1_000;
    /** Scheduling delay of either side, ms. */
    private static final int MARGIN_MS = 300;

    /**
     * After this silence, two frames are missing: the connection may be dead, or discovery late. Another connection is
     * opened beside it, ms.
     */
    static final int SUSPECT_AFTER_MS = 2 * FRAME_INTERVAL_MS + MARGIN_MS;
    /**
     * After this silence a connection is given up, ms: the first frame may be sent one interval after it is opened, and
     * take as long as any message of discovery may.
     */
    static final int ABANDON_AFTER_MS =
            (int) TimeUnit.MICROSECONDS.toMillis(DiscoveryContact.DELIVERY_BOUND_US) + FRAME_INTERVAL_MS + MARGIN_MS;

    static final int CONNECT_TIMEOUT_MS = 600;
    static final int RETRY_DELAY_MS = 100;

    private DiscoveryTimeouts() {}
}
