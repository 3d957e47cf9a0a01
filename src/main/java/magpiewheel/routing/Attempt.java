package magpiewheel.routing;

/** One attempt of a request at an endpoint, and which endpoint is at fault if it failed. */
final class Attempt {
    final Endpoint target;
    final Endpoint source;
    final long sentAt;
    final int retentionRank;
    final double fillProbability;
    boolean open = true;
    boolean sourceAtFault;
    /** Whether it ended with an error that either the endpoint or the request caused. */
    boolean ambiguousError;

    AttemptResult result;

    Attempt(Endpoint target, Endpoint source, long sentAt, int retentionRank, double fillProbability) {
        this.target = target;
        this.source = source;
        this.sentAt = sentAt;
        this.retentionRank = retentionRank;
        this.fillProbability = fillProbability;
    }

    /**
     * Counts the attempt at its endpoints.
     *
     * @param workUs its estimated work, counted at the target and at a fill source
     * @param inFlightCount how much it adds to the attempts in flight at the target
     */
    void start(long now, double workUs, int inFlightCount) {
        target.ownInFlight += inFlightCount;
        target.recentWork.add(now, workUs);
        if (source != target) {
            source.fillsInFlight++;
            source.recentWork.add(now, workUs);
        }
    }

    /** Records the result, and removes the attempt from the counts of attempts and fills in flight. */
    void end(AttemptResult attemptResult, int inFlightCount) {
        open = false;
        result = attemptResult;
        target.ownInFlight -= inFlightCount;
        if (source != target) {
            source.fillsInFlight--;
        }
    }
}
