package magpiewheel.records;

/**
 * One flow: bytes that went from one end to another, or an attempt that ended in failure. Times are Unix milliseconds;
 * addresses are IPv4 as 32 bits, 0 where none is known. An aggregate stands for {@code flows} of them and carries
 * neither object nor part. {@code linkOctets} is what a fill took of the branch's link, in the units of that link.
 */
public record FlowRecord(
        Kind kind,
        long fromMs,
        long toMs,
        int source,
        int sourcePort,
        int target,
        int targetPort,
        long octets,
        long linkOctets,
        long flows,
        int profile,
        int branch,
        SourceKind sourceKind,
        End end,
        Hit hit,
        long object,
        int part,
        long node) {
    /** What is told of. */
    public enum Kind {
        /** An answer, from the front to a client: payload as written to the socket, frame included. */
        SEND,
        /** A fill, from its source into a cache, as the cache's answer tells of it. */
        FILL,
        /** An attempt at a node that ended without an answer that could be passed on. */
        FAILED_ATTEMPT
    }

    /** Where the bytes came from. */
    public enum SourceKind {
        NONE,
        CACHE,
        PARENT,
        ORIGIN,
        OWN_COPY
    }

    /** How it ended. */
    public enum End {
        SERVED,
        UNCHANGED,
        REFUSED,
        FAILED,
        CUT_OFF,
        TIMED_OUT,
        UNREACHED,
        BROKEN,
        TURNED_AWAY,
        SPOILT,
        OTHER
    }

    /** What a cache said of its copy. */
    public enum Hit {
        NONE,
        HIT,
        FILLED,
        VIA_ORIGIN,
        JOINED,
        STALE
    }

    /** An aggregate of flows that are alike but for time, bytes, client, object and part. */
    public FlowRecord plus(FlowRecord other) {
        return new FlowRecord(
                kind,
                Math.min(fromMs, other.fromMs),
                Math.max(toMs, other.toMs),
                0,
                0,
                0,
                0,
                octets + other.octets,
                linkOctets + other.linkOctets,
                flows + other.flows,
                profile,
                branch,
                sourceKind,
                end,
                hit,
                0,
                0,
                node);
    }

    /** The same as an aggregate of one. */
    public FlowRecord alone() {
        return new FlowRecord(
                kind,
                fromMs,
                toMs,
                0,
                0,
                0,
                0,
                octets,
                linkOctets,
                flows,
                profile,
                branch,
                sourceKind,
                end,
                hit,
                0,
                0,
                node);
    }
}
