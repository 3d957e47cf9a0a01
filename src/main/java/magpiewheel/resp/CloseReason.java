package magpiewheel.resp;

/** Why a client's connection ended, for the event log. */
enum CloseReason {
    /** The client closed or reset it. */
    CLIENT,
    /** The client left it unused for too long. */
    IDLE,
    /** The client did not complete a request in time. */
    REQUEST_TIMEOUT,
    /** The client did not accept a response in time. */
    WRITE_TIMEOUT,
    /** Writing a response failed. */
    WRITE_FAILED,
    /** Its place was given to another client. */
    EVICTED,
    /** This process stops serving, and nothing was open on the connection. */
    DRAINED,
    /** This process ends, and the connection was in use until its time ran out. */
    SHUTDOWN_DEADLINE,
    /** Input that is no frame. */
    MALFORMED_INPUT,
    /** Two open requests with one tag. */
    DUPLICATE_TAG,
    /** Too many invalid requests, or requests over a limit. */
    TOO_MANY_VIOLATIONS,
    /** Buffers were short, and it held some for a request that it did not complete. */
    REQUEST_BUFFERS_SHORT,
    /** Buffers were short, and it held some for responses that it did not read. */
    RESPONSE_BUFFERS_SHORT,
    /** Places were short, and it did not read its responses. */
    STALLED_READER,
    /** A response found no room in the connection's mailbox. */
    MAILBOX_FULL;

    /** Returns the name as it stands in the log. */
    String logName() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
