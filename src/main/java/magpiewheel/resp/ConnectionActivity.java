package magpiewheel.resp;

import java.util.concurrent.TimeUnit;

/** When and for what a connection was used last: how long it may stay, and how gladly it makes room for others. */
final class ConnectionActivity {
    /** ns; the longest that a connection may be idle. */
    private static final long IDLE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(10);
    /**
     * ns; the longest to the first request, and from a request's first byte to its last (clients far off take 2 s to
     * write one, bad ones are owed an end within 3 s); with a body, longer.
     */
    private static final long REQUEST_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(2_400);

    private static final long BODY_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(4_500);
    /**
     * ns; younger connections are never closed to make room: their request may be on its way. Measured on full fronts,
     * 999 in 1,000 come sooner; each newcomer of a crowd keeps its place for so long from those who ask.
     */
    private static final long EVICTION_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long UNUSED_AFTER_REQUEST_NS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long UNUSED_AFTER_STATUS_NS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long UNUSED_INCOMPLETE_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** ns; above any time unused: what divides the ranks of {@link #evictionRank}. */
    private static final long RANK_STEP = Long.MAX_VALUE / 4;

    private final ClientReader reader;
    private final long createdAt = System.nanoTime();
    private volatile long lastUsedAt = createdAt;
    private volatile boolean frameReceived;
    private volatile boolean requestReceived;

    ConnectionActivity(ClientReader reader) {
        this.reader = reader;
    }

    /** A frame was read. */
    void onFrame() {
        frameReceived = true;
        touch();
    }

    /** A frame was worked off, or an answer written. */
    void touch() {
        lastUsedAt = System.nanoTime();
    }

    /** It carried a request, and not only questions how the front is. */
    void onRequest() {
        requestReceived = true;
    }

    /** Whether a frame was ever read. */
    boolean hasReceivedFrame() {
        return frameReceived;
    }

    /** Whether it was not used for so long that it is ended. */
    boolean idle(long now) {
        return now - lastUsedAt > IDLE_TIMEOUT_NS;
    }

    /** Whether the client owes a request, or the rest of one, for so long that it is ended. */
    boolean requestOverdue(long now) {
        long incomplete = incompleteSince();
        return incomplete != 0 && now - incomplete > (reader.inBody() ? BODY_TIMEOUT_NS : REQUEST_TIMEOUT_NS);
    }

    /** ns; when what it owes to say began: its first request, or the one it is in the middle of. 0: it owes nothing. */
    private long incompleteSince() {
        long frame = reader.frameStartedAt();
        return frame != 0 ? frame : frameReceived ? 0 : createdAt;
    }

    /**
     * How gladly it is closed when the front is full: the silent first, then those that only asked how the front is,
     * then the longest unused; 0 for one so young that a request may be on its way. A frame that is just being read is
     * work; one that has been for a while is half a request.
     */
    long evictionRank(long now) {
        long unused = now - lastUsedAt;
        if (unused < EVICTION_GRACE_NS || reader.frameGrowing(now)) {
            return 0;
        }
        return incompleteSince() != 0 ? 2 * RANK_STEP + unused : requestReceived ? unused : RANK_STEP + unused;
    }

    /** Whether nobody has used it for so long that, beyond some, it may go: one that was silent, a bit later. */
    boolean evictable(long now, boolean crowded) {
        long limit = incompleteSince() != 0
                ? UNUSED_INCOMPLETE_NS
                : requestReceived && !crowded ? UNUSED_AFTER_REQUEST_NS : UNUSED_AFTER_STATUS_NS;
        return now - lastUsedAt > limit;
    }
}
