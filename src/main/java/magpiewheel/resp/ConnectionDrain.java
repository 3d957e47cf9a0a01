package magpiewheel.resp;

import java.util.concurrent.TimeUnit;

/**
 * Whether clients are being sent away, and how far that has come. Who asks whether the front is ready may have heard
 * yes a moment ago, so connections are left alone at first; what still comes late is refused.
 */
final class ConnectionDrain {
    /** ns; readiness is asked every 0.1 s, and new connections keep coming for 0.2 s behind the first no. */
    private static final long CLOSE_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** ns; 4 s after the call no connection may have had a request in the last 2 s. */
    private static final long REJECT_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(1_700);
    /**
     * ns; from the signal to end on: nothing need be left alone at first, and a client that always has something open
     * gets more time for a gap; what is still taken is answered before the process is killed, 3.7 s on.
     */
    private static final long SHUTDOWN_REJECT_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(2_400);
    /** ns; a client that was taken leave of is given so long to close. */
    private static final long CLOSE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(1);
    /**
     * ns; likewise where only this process still has clients, and this one has said nothing since: a request may cross
     * the end of its connection for 50 ms, and a client that does not look at its connection must not hold the process
     * up.
     */
    private static final long SILENT_CLOSE_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** us; later than the engine answers what was taken after the process was told to end. */
    private static final long FAIL_MARGIN_US = 30_000;
    /** ns; when operators sent the clients away; 0 while they have not. */
    private volatile long drainingSince;
    /** ns; when the process was told to end. */
    private volatile long shutdownAt;

    private volatile long answerDeadlineUs = Long.MAX_VALUE;
    private volatile boolean shuttingDown;
    private volatile boolean soleServer;

    /** Clients are sent away until {@link #end}. */
    void begin() {
        if (drainingSince == 0) {
            drainingSince = System.nanoTime() | 1;
        }
    }

    void end() {
        drainingSince = 0;
    }

    /** The process ends: Unix us by which whatever is taken from now on has its answer. */
    void answerBy(long us) {
        shutdownAt = System.nanoTime() | 1;
        answerDeadlineUs = us;
    }

    /**
     * The process ends, and from now on clients are sent away for good; where others take them, {@code alone} is false.
     */
    void beginShutdown(boolean sole) {
        soleServer = sole;
        shuttingDown = true;
    }

    /** When a request is to be answered that would have until the given time. */
    long deadline(long us) {
        return Math.min(us, answerDeadlineUs);
    }

    /** Unix us; what is open then, taken before the process was told to end, is answered here. */
    long answeredBy() {
        return answerDeadlineUs == Long.MAX_VALUE ? Long.MAX_VALUE : answerDeadlineUs + FAIL_MARGIN_US;
    }

    /** Whether new clients are sent elsewhere. */
    boolean draining() {
        return shuttingDown || drainingSince != 0;
    }

    /** Whether connections on which nothing is open are closed. */
    boolean closesIdle() {
        return shuttingDown || elapsed(drainingSince, CLOSE_AFTER_NS);
    }

    /** Whether new requests on open connections are refused. */
    boolean rejectsRequests() {
        return elapsed(drainingSince, REJECT_AFTER_NS) || shuttingDown && elapsed(shutdownAt, SHUTDOWN_REJECT_AFTER_NS);
    }

    /**
     * Whether a client that was taken leave of at a time has had its time to close; {@code spoke}: not silent since.
     */
    boolean closeExpired(long halfClosedAt, boolean received, long now) {
        return now - halfClosedAt > (soleServer && !received ? SILENT_CLOSE_TIMEOUT_NS : CLOSE_TIMEOUT_NS);
    }

    private static boolean elapsed(long from, long ns) {
        return from != 0 && System.nanoTime() - from > ns;
    }
}
