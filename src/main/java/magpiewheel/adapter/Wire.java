package magpiewheel.adapter;

import magpiewheel.routing.AttemptResult;

/** Numeric codes of the simulator protocol. */
final class Wire {
    /** Length of an endpoint id: an IPv4 address and a port. */
    static final int ENDPOINT_ID_BYTES = 6;

    // Record codes from the simulator.
    static final int IN_START_INSTANCE = 0;
    static final int IN_ENDPOINTS_CHANGED = 1;
    static final int IN_REQUEST_ARRIVED = 2;
    static final int IN_STREAM_STARTED = 3;
    static final int IN_ATTEMPT_ENDED = 4;
    static final int IN_CLIENT_DISCONNECTED = 5;
    static final int IN_TIMER_EXPIRED = 6;
    static final int IN_HEALTH_CHECK_ENDED = 7;
    static final int IN_PEER_MESSAGE = 8;
    static final int IN_STOP_INSTANCE = 9;
    static final int IN_OBJECTS_PURGED = 10;

    // Record codes to the simulator.
    static final int OUT_REJECT = 1;
    static final int OUT_FAIL = 2;
    static final int OUT_CANCEL_ATTEMPT = 3;
    static final int OUT_SET_TIMER = 4;
    static final int OUT_CHECK_HEALTH = 5;
    static final int OUT_SEND_TO_PEER = 7;
    static final int OUT_LOG = 8;
    static final int OUT_INTERNAL_ERROR = 9;
    static final int OUT_SUBSCRIBE = 10;
    static final int OUT_FETCH_ENDPOINT_LIST = 11;
    static final int OUT_START_ATTEMPT = 12;

    // Flags of OUT_START_ATTEMPT, see AttemptPlan.
    static final int FLAG_JOIN_FILL = 1;
    static final int FLAG_CACHED_ONLY = 2;
    static final int FLAG_BYPASS_PARENT_CACHE = 4;
    static final int FLAG_REVALIDATE = 8;

    private Wire() {}

    /** Returns the attempt result that a code of the simulator stands for. */
    static AttemptResult result(int code) throws FrameReader.MalformedInput {
        return switch (code) {
            case 0 -> AttemptResult.OK;
            case 1 -> AttemptResult.MISS;
            case 249 -> AttemptResult.EXPIRED;
            case 250 -> AttemptResult.CANCELLED;
            case 251 -> AttemptResult.CONNECTION_LOST;
            case 252 -> AttemptResult.UNREACHABLE;
            case 253 -> AttemptResult.TIMEOUT;
            case 254 -> AttemptResult.REJECTED;
            case 255 -> AttemptResult.ERROR;
            default -> throw new FrameReader.MalformedInput("unknown attempt result code " + code);
        };
    }
}
