package magpiewheel.routing;

/** One attempt of a request at an endpoint, and which endpoint is at fault if it failed. */
final class Attempt {
    final Endpoint target;
    /** The target as it was listed when the attempt began; discovery may list it otherwise later. */
    final EndpointInfo targetInfo;

    final Endpoint source;
    final long sentAt;
    final int retentionRank;
    final double fillProbability;
    boolean open = true;
    boolean sourceAtFault;
    /** Whether it ended with an error that either the endpoint or the request caused. */
    boolean ambiguousError;

    AttemptResult result;
    /** Whether its response was withheld from the client. */
    private boolean withheld;
    /** Whether it is proven to have been sent to the listed endpoint; false while it is open. */
    private boolean serverProven;

    Attempt(Endpoint target, Endpoint source, long sentAt, int retentionRank, double fillProbability) {
        this.target = target;
        this.targetInfo = target.info;
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

    /** Whether the endpoint may have executed it: it is open, or its outcome does not prove the contrary. */
    boolean mayHaveRun() {
        return open || withheld || !result.neverRan;
    }

    /** Whether it is proven that the listed endpoint, and no other process at its address, may have executed it. */
    boolean isServerProven() {
        return serverProven;
    }

    /** Records the outcome, and removes the attempt from the counts of attempts and fills in flight. */
    void end(AttemptOutcome outcome, int inFlightCount) {
        open = false;
        result = outcome.result();
        withheld = outcome.isWithheldResponse();
        serverProven = outcome.serverProven();
        target.ownInFlight -= inFlightCount;
        if (source != target) {
            source.fillsInFlight--;
        }
    }
}
