package magpiewheel.resp;

import java.util.concurrent.TimeUnit;

/**
 * State of the connection drain. A client that checked readiness may have been told "ready" a moment ago, so at first
 * open connections are left alone; requests that still arrive late are rejected.
 */
final class ConnectionDrain {
    /**
     * ns; delay before idle connections are closed: readiness is polled every 0.1 s, and new connections keep arriving
     * for 0.2 s after the first "not ready".
     */
    private static final long CLOSE_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /**
     * ns; delay before requests are rejected: 4 s after the quiesce call, no connection may have had a request in the
     * last 2 s.
     */
    private static final long REJECT_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(1_700);
    /** ns; how long a client has to close its side after the half-close. */
    private static final long CLOSE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(1);
    /**
     * ns; the same if only this process still serves clients and the client has sent nothing since the half-close: a
     * request may cross the half-close for 50 ms, and a client that does not watch its connection must not delay the
     * exit.
     */
    private static final long SILENT_CLOSE_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /**
     * us; margin after the answer deadline, by which the engine has answered everything accepted after the shutdown
     * notice.
     */
    private static final long FAIL_MARGIN_US = 30_000;

    private final ShutdownSchedule schedule;
    /** ns; when operators started the drain; 0 if they have not. */
    private volatile long drainingSince;
    /** ns; when the process was told to terminate. */
    private volatile long shutdownAt;

    private volatile long answerDeadlineUs = Long.MAX_VALUE;
    private volatile boolean shuttingDown;
    private volatile boolean soleServer;

    ConnectionDrain(ShutdownSchedule schedule) {
        this.schedule = schedule;
    }

    /** Starts draining connections, until {@link #end}. */
    void begin() {
        if (drainingSince == 0) {
            drainingSince = System.nanoTime() | 1;
        }
    }

    void end() {
        drainingSince = 0;
    }

    /** The process was told to terminate at this time (Unix us). */
    void beginShutdown(long nowUs) {
        shutdownAt = System.nanoTime() | 1;
        answerDeadlineUs = nowUs + TimeUnit.MILLISECONDS.toMicros(schedule.answerByMs());
    }

    /** Connections are closed from now on; {@code sole} is false if another process accepts on the same socket. */
    void closeConnections(boolean sole) {
        soleServer = sole;
        shuttingDown = true;
    }

    /** Returns when a terminating process does what. */
    ShutdownSchedule schedule() {
        return schedule;
    }

    /** Returns the given deadline (Unix us), limited by the answer deadline of a terminating process. */
    long deadline(long us) {
        return Math.min(us, answerDeadlineUs);
    }

    /** Unix us; what is open at this time is failed by the connection, which is then closed, in use or not. */
    long answeredBy() {
        return answerDeadlineUs == Long.MAX_VALUE ? Long.MAX_VALUE : answerDeadlineUs + FAIL_MARGIN_US;
    }

    /** Whether new clients are to be sent elsewhere. */
    boolean draining() {
        return shuttingDown || drainingSince != 0;
    }

    /** Whether connections without open requests are closed. */
    boolean closesIdle() {
        return shuttingDown || elapsed(drainingSince, CLOSE_AFTER_NS);
    }

    /** Whether new requests on open connections are rejected. */
    boolean rejectsRequests() {
        return elapsed(drainingSince, REJECT_AFTER_NS)
                || elapsed(shutdownAt, TimeUnit.MILLISECONDS.toNanos(schedule.refuseFromMs()));
    }

    /**
     * Whether a client's time to close its side has run out; {@code received} says whether it has sent anything since
     * the half-close. Times in ns.
     */
    boolean closeExpired(long halfClosedAt, boolean received, long now) {
        return now - halfClosedAt > (soleServer && !received ? SILENT_CLOSE_TIMEOUT_NS : CLOSE_TIMEOUT_NS);
    }

    private static boolean elapsed(long from, long ns) {
        return from != 0 && System.nanoTime() - from > ns;
    }
}
