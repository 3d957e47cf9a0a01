package magpiewheel.pressure;

/** How much is kept of each flow, from all to nothing but its count. */
public enum Level {
    /** Each flow has a record of its own. */
    EACH,
    /** Flows that are alike are added up over an interval (RFC 7015). */
    AGGREGATE,
    /** Flows are counted as not sent, and the count is exported. */
    COUNT
}
