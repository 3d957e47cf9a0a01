package magpiewheel.routing;

/** Whether the router's own copy of an object answers a request: fresh enough, after every purge, and in time. */
final class LocalCopyPolicy {
    /** Share of the latency objective in which the own link must be through: the way to the client takes the rest. */
    private static final double TRANSFER_SHARE = 0.8;
    /** us; taken off the age limit of a copy, and off the deadline, against rounding and clocks. */
    private static final long MARGIN_US = 20_000;

    private final PurgeLog purges;
    private final StalenessBridge staleness;
    private final TransferTimes transfers;
    /** When the router's own link is through with the copies that were given to it. */
    private long linkFreeAt;

    LocalCopyPolicy(PurgeLog purges, StalenessBridge staleness, TransferTimes transfers) {
        this.purges = purges;
        this.staleness = staleness;
        this.transfers = transfers;
    }

    /** Whether the copy is served first, as no cache is known to hold one: a fill costs more and comes later. */
    boolean servesBeforeFill(long now, InFlightRequest request) {
        long mustEndBy = now + (long) (TRANSFER_SHARE * transfers.latencyObjectiveUs(request));
        return serves(now, request, mustEndBy, 0, false);
    }

    /** Whether the copy is served at last, as nobody else can answer; one within the class's grace will do, too. */
    boolean servesAsLastResort(long now, InFlightRequest request) {
        boolean ignoreBound = !request.bound.strict();
        return serves(now, request, request.deadline - MARGIN_US, request.requestClass.staleGraceUs(), ignoreBound);
    }

    /** Whether the copy is acceptable and through in time; if so the link is taken for it. */
    private boolean serves(long now, InFlightRequest request, long mustEndBy, long graceUs, boolean ignoreBound) {
        if (request.localCopy == null || request.openAttempts() > 0) {
            return false;
        }
        long linkFree = Math.max(now, linkFreeAt) + request.localCopy.linkBusyUs();
        boolean withinBound = ignoreBound || staleness.accepts(now, request, request.localCopyIssuedAt);
        if (isPurged(request)
                || isStale(now, request, graceUs)
                || !withinBound
                || Math.max(linkFree, now + request.localCopy.transferUs()) > mustEndBy) {
            return false;
        }
        linkFreeAt = linkFree;
        return true;
    }

    /** Caches drop older copies some time after a purge; the router's own stays, so every purge counts. */
    private boolean isPurged(InFlightRequest request) {
        long purgedAt = purges.lastPurge(request.request.objectId(), request.request.group());
        return request.localCopyIssuedAt - MARGIN_US <= purgedAt;
    }

    private static boolean isStale(long now, InFlightRequest request, long graceUs) {
        long freshUs = request.requestClass.freshUs();
        return freshUs > 0 && now - request.localCopyIssuedAt > freshUs + graceUs - MARGIN_US;
    }
}
