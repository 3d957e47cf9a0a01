package magpiewheel.resp;

import java.util.concurrent.TimeUnit;

/**
 * Whether clients are being sent away, and how far that has come. Who asks whether the front is ready may have heard
 * yes a moment ago, so connections are left alone at first; what still comes late is refused.
 */
final class Leave {
    /** ns; readiness is asked every 0.1 s, and new connections keep coming for 0.2 s behind the first no. */
    private static final long CLOSES_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** ns; 4 s after the call no connection may have had a request in the last 2 s. */
    private static final long REFUSES_NS = TimeUnit.MILLISECONDS.toNanos(1_700);
    private volatile long since;

    /** At once: clients find another process already, so that connections need not be left alone at first. */
    void begin(boolean atOnce) {
        if (since == 0) {
            since = System.nanoTime() - (atOnce ? CLOSES_NS : 0) | 1;
        }
    }

    void end() {
        since = 0;
    }

    /** Whether new clients are sent elsewhere. */
    boolean asked() {
        return since != 0;
    }

    /** Whether connections on which nothing is open are closed. */
    boolean closes() {
        return past(CLOSES_NS);
    }

    /** Whether new requests on open connections are refused. */
    boolean refuses() {
        return past(REFUSES_NS);
    }

    private boolean past(long ns) {
        long from = since;
        return from != 0 && System.nanoTime() - from > ns;
    }
}
