package magpiewheel.adapter;

import magpiewheel.routing.AttemptResult;

/** Codes of the wire. */
final class Wire {
    static final int NODE_BYTES = 6;

    static final int IN_INIT = 0;
    static final int IN_UPDATE = 1;
    static final int IN_INGRESS = 2;
    static final int IN_ACCEPTED = 3;
    static final int IN_ANSWER = 4;
    static final int IN_CANCELLED_BY_CLIENT = 5;
    static final int IN_BELL = 6;
    static final int IN_STATUS_BACK = 7;
    static final int IN_MEMO = 8;
    static final int IN_STOP = 9;
    static final int IN_PURGED = 10;

    static final int OUT_SHED = 1;
    static final int OUT_REPORT_FAILURE = 2;
    static final int OUT_CANCEL = 3;
    static final int OUT_REMIND = 4;
    static final int OUT_POLL = 5;
    static final int OUT_SAY = 7;
    static final int OUT_PRINT = 8;
    static final int OUT_BUG = 9;
    static final int OUT_SUBSCRIBE = 10;
    static final int OUT_QUERY_ALL = 11;
    static final int OUT_READ_THROUGH = 12;

    static final int JOIN = 1;
    static final int HELD_ONLY = 2;
    static final int PARENT_KEEPS_NONE = 4;
    static final int RENEW = 8;

    private Wire() {}

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
            default -> throw new FrameReader.MalformedInput("unknown outcome " + code);
        };
    }
}
