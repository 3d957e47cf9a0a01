package magpiewheel.resp;

import java.util.concurrent.TimeUnit;

/**
 * Tracks when and for what a connection was last used, which decides how long it may stay open and how early it is
 * evicted in favour of new clients.
 */
final class ConnectionActivity {
    /** ns; maximum idle time of a connection. */
    private static final long IDLE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(10);
    /**
     * ns; maximum time to the first request, and from the first to the last byte of a request without a body (distant
     * clients take 2 s to write one; invalid ones must be closed within 3 s).
     */
    static final long REQUEST_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(2_400);

    private static final long BODY_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(4_500);
    /**
     * ns; a connection used more recently than this is never evicted, since its request may be in transit: on full
     * servers, 999 of 1,000 requests arrive sooner. New connections in a burst hold their place for this time against
     * active clients.
     */
    private static final long EVICTION_GRACE_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long UNUSED_AFTER_REQUEST_NS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long UNUSED_AFTER_STATUS_NS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long UNUSED_INCOMPLETE_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** ns; a client that accepts nothing of a response for this long counts as one that does not read. */
    static final long STALLED_READER_NS = TimeUnit.MILLISECONDS.toNanos(300);
    /**
     * ns; a client that accepts nothing for this long does not keep a terminating process: one that reads 1 MB a second
     * takes the largest response in a quarter of it.
     */
    static final long MAX_READ_PAUSE_NS = TimeUnit.SECONDS.toNanos(1);
    /** ns; step between the classes of {@link #evictionRank}, above any possible unused time. */
    private static final long RANK_STEP = Long.MAX_VALUE / 8;

    private static final long USED_CLASS = 0;
    private static final long SLOW_REQUEST_CLASS = RANK_STEP;
    /** Clients that send whole requests and read their responses have lower eviction priorities than this. */
    static final long LOWEST_UNFINISHED_RANK = SLOW_REQUEST_CLASS;

    private static final long STALLED_READER_CLASS = 2 * RANK_STEP;
    private static final long STATUS_CLASS = 3 * RANK_STEP;
    private static final long INCOMPLETE_CLASS = 4 * RANK_STEP;

    private final ClientReader reader;
    private final long createdAt = System.nanoTime();
    private volatile long lastUsedAt = createdAt;
    private volatile boolean frameReceived;
    private volatile boolean requestReceived;

    ConnectionActivity(ClientReader reader) {
        this.reader = reader;
    }

    /** Records that a frame was read. */
    void onFrame() {
        frameReceived = true;
        touch();
    }

    /** Records that a frame was processed or a response written. */
    void touch() {
        lastUsedAt = System.nanoTime();
    }

    /** Records that the connection carried a request, and not only status queries. */
    void onRequest() {
        requestReceived = true;
    }

    /** Whether any frame has been read. */
    boolean hasReceivedFrame() {
        return frameReceived;
    }

    /** Whether the idle time-out has expired. */
    boolean idle(long now) {
        return now - lastUsedAt > IDLE_TIMEOUT_NS;
    }

    /** Whether the client has taken too long to send its first request or to complete a partial one. */
    boolean requestOverdue(long now) {
        long incomplete = incompleteSince();
        return incomplete != 0 && now - incomplete > (reader.inBody() ? BODY_TIMEOUT_NS : REQUEST_TIMEOUT_NS);
    }

    /** ns; start of the wait for the first request or of the partial frame; 0 if neither is outstanding. */
    private long incompleteSince() {
        long frame = reader.frameStartedAt();
        return frame != 0 ? frame : frameReceived ? 0 : createdAt;
    }

    /**
     * Returns the eviction priority when the server is full, highest first: connections without a complete request,
     * then those that only sent status queries, then those whose request grows slowly, then those unused for longest. 0
     * protects a connection that was used or began a request recently, whose next bytes may be in transit.
     */
    long evictionRank(long now) {
        long unused = now - lastUsedAt;
        if (unused < EVICTION_GRACE_NS) {
            return 0;
        }
        if (reader.frameGrowing(now)) {
            long age = now - reader.frameStartedAt();
            return age < ClientReader.RECENT_INPUT_NS ? 0 : SLOW_REQUEST_CLASS + age;
        }
        if (incompleteSince() != 0) {
            return INCOMPLETE_CLASS + unused;
        }
        return (requestReceived ? USED_CLASS : STATUS_CLASS) + unused;
    }

    /**
     * Returns the eviction priority of a client that has accepted nothing of a response for this long (ns); 0 if short.
     */
    static long stalledReaderRank(long stalledNs) {
        return stalledNs < STALLED_READER_NS ? 0 : STALLED_READER_CLASS + stalledNs;
    }

    /**
     * Whether the connection has been unused long enough to be evicted when few places are left; the limit is longer
     * for connections without a complete request.
     */
    boolean evictable(long now) {
        long limit = incompleteSince() != 0
                ? UNUSED_INCOMPLETE_NS
                : requestReceived ? UNUSED_AFTER_REQUEST_NS : UNUSED_AFTER_STATUS_NS;
        return now - lastUsedAt > limit && !reader.frameGrowing(now);
    }
}
