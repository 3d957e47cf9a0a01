package magpiewheel.routing;

/** Decides whether a local copy answers a request: if it is fresh, newer than every purge, and sent in time. */
final class LocalCopyPolicy {
    /** Share of the latency objective available for sending a copy; the way to the client takes the rest. */
    private static final double TRANSFER_SHARE = 0.8;
    /** Margin, in microseconds, off the age limit of a copy and the deadline: allows for rounding and clock skew. */
    private static final long MARGIN_US = 20_000;

    private final PurgedCopyPolicy purgedCopies;
    private final StalenessBridge staleness;
    private final TransferTimes transfers;
    /** When the router's own link will have sent the local copies served so far. */
    private long linkFreeAt;

    LocalCopyPolicy(PurgedCopyPolicy purgedCopies, StalenessBridge staleness, TransferTimes transfers) {
        this.purgedCopies = purgedCopies;
        this.staleness = staleness;
        this.transfers = transfers;
    }

    /** Whether the copy is served when no cache is known to hold one: a fill costs more and takes longer. */
    boolean servesBeforeFill(long now, InFlightRequest request) {
        long mustEndBy = now + (long) (TRANSFER_SHARE * transfers.latencyObjectiveUs(request));
        return serves(now, request, mustEndBy, 0, false);
    }

    /**
     * Whether the copy is served because no endpoint can answer. It may be stale within the class's grace, and only a
     * strict staleness bound still applies.
     */
    boolean servesAsLastResort(long now, InFlightRequest request) {
        boolean ignoreBound = !request.bound.strict();
        return serves(now, request, request.deadline - MARGIN_US, request.requestClass.staleGraceUs(), ignoreBound);
    }

    /** Whether the copy is acceptable and sent in time; if so, reserves the link for it. */
    private boolean serves(long now, InFlightRequest request, long mustEndBy, long graceUs, boolean ignoreBound) {
        if (request.localCopy == null || request.openAttempts() > 0) {
            return false;
        }
        long linkFree = Math.max(now, linkFreeAt) + request.localCopy.linkBusyUs();
        boolean withinBound = ignoreBound || staleness.accepts(now, request, request.localCopyIssuedAt);
        if (isPurged(now, request)
                || isStale(now, request, graceUs)
                || !withinBound
                || Math.max(linkFree, now + request.localCopy.transferUs()) > mustEndBy) {
            return false;
        }
        linkFreeAt = linkFree;
        return true;
    }

    private boolean isPurged(long now, InFlightRequest request) {
        return purgedCopies.mayBePurged(now, request.request, request.localCopyIssuedAt - MARGIN_US);
    }

    private static boolean isStale(long now, InFlightRequest request, long graceUs) {
        long freshUs = request.requestClass.freshUs();
        return freshUs > 0 && now - request.localCopyIssuedAt > freshUs + graceUs - MARGIN_US;
    }
}
