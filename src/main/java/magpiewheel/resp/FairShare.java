package magpiewheel.resp;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/**
 * Decides how many requests of one client may be open in the engine, given how many all clients have open. While there
 * is room every client may use its window; the closer the router is to its capacity, the fewer a client may have, and
 * the last part is kept for clients that have been served before and ask rarely. Thread-safe.
 */
public final class FairShare {
    /** No client is limited. */
    public static final FairShare UNLIMITED = new FairShare(Integer.MAX_VALUE, () -> 0);

    /** Share of the capacity up to which clients are not limited. */
    private static final double BUSY_SHARE = 0.6;
    /** Share of the capacity beyond which only usual clients may start a request. */
    private static final double RESERVED_SHARE = 0.8;

    private static final int BUSY_WINDOW = 4;
    private static final int RESERVED_WINDOW = 1;
    /** Requests a second; what asks more often waits first. */
    private static final int RARE_REQUESTS_PER_S = 8;

    /** What one client has asked for; used by its connection's actor. */
    static final class ClientHistory {
        private long second;
        private int thisSecond;
        private int lastSecond;
        private boolean served;

        /** Records that a request was passed to the engine at this time (ns). */
        void requestStarted(long now) {
            advance(now);
            thisSecond++;
        }

        /** Records that the client was served and has taken the response. */
        void served() {
            served = true;
        }

        private boolean isUsual(long now) {
            advance(now);
            return served && Math.max(thisSecond, lastSecond) < RARE_REQUESTS_PER_S;
        }

        private void advance(long now) {
            long current = TimeUnit.NANOSECONDS.toSeconds(now);
            if (current != second) {
                lastSecond = current == second + 1 ? thisSecond : 0;
                thisSecond = 0;
                second = current;
            }
        }
    }

    private final int capacity;
    private final IntSupplier inEngine;
    private final AtomicInteger started = new AtomicInteger();

    /** Creates a share of {@code capacity} open requests; {@code inEngine} returns those that the engine has open. */
    public FairShare(int capacity, IntSupplier inEngine) {
        this.capacity = capacity;
        this.inEngine = inEngine;
    }

    /** Records that a request was passed to the engine. */
    void requestStarted() {
        started.incrementAndGet();
    }

    /** Records that a request was answered or cancelled. */
    void requestEnded() {
        started.decrementAndGet();
    }

    /** Returns how many requests a client that has {@code asked} unanswered ones may have open at this time (ns). */
    int window(ClientHistory client, int asked, long now) {
        // The engine hears of requests a moment later, and of cancelled ones until their attempts have ended.
        double load = (double) Math.max(started.get(), inEngine.getAsInt()) / capacity;
        if (load < BUSY_SHARE) {
            return RequestWindow.MAX_OPEN;
        }
        if (load < RESERVED_SHARE) {
            return BUSY_WINDOW;
        }
        return load < 1 && asked <= RESERVED_WINDOW && client.isUsual(now) ? RESERVED_WINDOW : 0;
    }
}
