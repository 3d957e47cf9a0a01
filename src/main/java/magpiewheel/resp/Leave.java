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
    /**
     * ns; where the next process has the clients already: nothing need be left alone at first, and a client that always
     * has something open gets more time for a gap; what is still taken is answered before the process is killed, 3.7 s on.
     */
    private static final long REFUSES_AT_END_NS = TimeUnit.MILLISECONDS.toNanos(2_400);
    private volatile long since;
    private volatile boolean atEnd;
    private volatile long lastAnswerUs = Long.MAX_VALUE;

    /** At the end of the process, another one has the clients already. */
    void begin(boolean ends) {
        if (since == 0) {
            atEnd = ends;
            since = System.nanoTime() | 1;
        }
    }

    void end() {
        since = 0;
    }

    /** The process ends: Unix us by which whatever is taken from now on has its answer. */
    void answerBy(long us) {
        lastAnswerUs = us;
    }

    /** When a request is to be answered that would have until the given time. */
    long deadline(long us) {
        return Math.min(us, lastAnswerUs);
    }

    /** Whether new clients are sent elsewhere. */
    boolean asked() {
        return since != 0;
    }

    /** Whether connections on which nothing is open are closed. */
    boolean closes() {
        return past(atEnd ? 0 : CLOSES_NS);
    }

    /** Whether new requests on open connections are refused. */
    boolean refuses() {
        return past(atEnd ? REFUSES_AT_END_NS : REFUSES_NS);
    }

    private boolean past(long ns) {
        long from = since;
        return from != 0 && System.nanoTime() - from > ns;
    }
}
