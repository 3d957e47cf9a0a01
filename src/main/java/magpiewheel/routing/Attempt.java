package magpiewheel.routing;

/** One attempt of a request. */
final class Attempt {
    final Endpoint target;
    final Endpoint source;
    final long sentAt;
    final int retentionRank;
    final double fillProbability;
    boolean open = true;
    boolean sourceAtFault;
    /** It ended with a plain error, which says of either the node or the request that it can't be used. */
    boolean ambiguousError;

    AttemptResult result;

    Attempt(Endpoint target, Endpoint source, long sentAt, int keep, double fill) {
        this.target = target;
        this.source = source;
        this.sentAt = sentAt;
        this.retentionRank = keep;
        this.fillProbability = fill;
    }

    /** It goes out: counts so many in hand, and the work at whoever will have it. */
    void start(long now, double work, int hands) {
        target.ownInFlight += hands;
        target.recentWork.add(now, work);
        if (source != target) {
            source.fillsInFlight++;
            source.recentWork.add(now, work);
        }
    }

    /** It has ended: what it counted for is taken back. */
    void end(AttemptResult how, int hands) {
        open = false;
        result = how;
        target.ownInFlight -= hands;
        if (source != target) {
            source.fillsInFlight--;
        }
    }
}
