package magpiewheel.resp;

/** How a client uses its connection, which decides whether it keeps its place and its buffers. Thread-safe. */
final class ConnectionUsage {
    private final ClientSocket socket;
    private final RequestAdmission admission;
    private final ConnectionActivity activity;
    private final ClientReader reader;
    private final ResponseWriter writer;

    ConnectionUsage(
            ClientSocket socket,
            RequestAdmission admission,
            ConnectionActivity activity,
            ClientReader reader,
            ResponseWriter writer) {
        this.socket = socket;
        this.admission = admission;
        this.activity = activity;
        this.reader = reader;
        this.writer = writer;
    }

    /** Whether a response is owed or being written. */
    boolean busy() {
        return admission.busy();
    }

    /** ns; when this side of the connection was half-closed; 0 while the client is served. */
    long halfClosedAt() {
        return socket.halfClosedAt();
    }

    /** Returns the eviction priority; 0 if a response is owed or a request may be in transit. */
    long evictionRank(long now) {
        if (socket.halfClosed()) {
            return 0;
        }
        if (writer.writing()) {
            return ConnectionActivity.stalledReaderRank(writer.stalledNs(now));
        }
        // Closing while the client reads could cut off a response: a request that meets a close causes a reset.
        return admission.busy() || !writer.allRead(now) ? 0 : activity.evictionRank(now);
    }

    /** Whether the connection has been unused long enough to be evicted when few places are left. */
    boolean evictable(long now) {
        return evictionRank(now) > 0 && !writer.writing() && activity.evictable(now);
    }

    /** Whether a request may be in transit or in work, so that a half-close could meet it. */
    boolean mayMeetRequest() {
        // More bytes of a request that is already being received are no new request.
        return reader.frameStartedAt() == 0 && socket.hasUnread();
    }

    /** Whether the client has not sent a whole frame yet, is in the middle of one, or has not read all responses. */
    boolean unfinished() {
        return !socket.halfClosed()
                && (!activity.hasReceivedFrame() || reader.frameStartedAt() != 0 || writer.writing());
    }

    /**
     * Whether the client reads responses that this process, or the system, still holds. A client that takes nothing for
     * {@link ConnectionActivity#MAX_READ_PAUSE_NS} counts as one that does not read.
     */
    boolean readsResponses(long now) {
        return writer.writing() ? writer.stalledNs(now) < ConnectionActivity.MAX_READ_PAUSE_NS : !writer.delivered(now);
    }

    /** Returns the bytes of the responses that wait for the client to read. */
    long unwrittenBytes() {
        return writer.unwrittenBytes();
    }

    /** Whether responses wait for the client to read. */
    boolean writing() {
        return writer.writing();
    }

    /** Returns the buffers of a request body that is being received. */
    int requestBuffers() {
        return reader.heldBuffers();
    }

    /** ns; when the first byte of the request being received arrived; 0 between requests. */
    long requestStartedAt() {
        return reader.frameStartedAt();
    }

    /** Returns the buffers of responses that are not written; 0 if the client accepted some of them recently. */
    int stalledResponseBuffers(long now) {
        return writer.stalledNs(now) < ConnectionActivity.STALLED_READER_NS ? 0 : writer.heldBuffers();
    }
}
