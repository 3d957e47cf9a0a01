package magpiewheel.routing;

/** One attempt of a request at an endpoint, and whose fault its failure was. */
final class Attempt {
    final Endpoint target;
    final Endpoint source;
    final long sentAt;
    final int retentionRank;
    final double fillProbability;
    boolean open = true;
    boolean sourceAtFault;
    /** It ended with an error that is the fault of either the endpoint or the request. */
    boolean ambiguousError;

    AttemptResult result;

    Attempt(Endpoint target, Endpoint source, long sentAt, int retentionRank, double fillProbability) {
        this.target = target;
        this.source = source;
        this.sentAt = sentAt;
        this.retentionRank = retentionRank;
        this.fillProbability = fillProbability;
    }

    /** Counts it at its endpoints: so many in flight, and its work wherever that will be done. */
    void start(long now, double workUs, int inFlightCount) {
        target.ownInFlight += inFlightCount;
        target.recentWork.add(now, workUs);
        if (source != target) {
            source.fillsInFlight++;
            source.recentWork.add(now, workUs);
        }
    }

    /** Takes back what was counted for it. */
    void end(AttemptResult attemptResult, int inFlightCount) {
        open = false;
        result = attemptResult;
        target.ownInFlight -= inFlightCount;
        if (source != target) {
            source.fillsInFlight--;
        }
    }
}
