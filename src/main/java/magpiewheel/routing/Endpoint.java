package magpiewheel.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** A node that discovery has named. */
final class Endpoint {
    final long id;
    final long hash;
    EndpointInfo info;
    EndpointState state;
    private boolean isParent;
    private boolean isOrigin;
    int ownInFlight;
    int peersInFlight;
    int fillsInFlight;
    final Ewma failureRate;
    final ExpiringMean fillLatency;
    double concurrencyLimit;
    final SlidingWindowSum recentWork;
    long ejectedUntil;
    long ejectionUs;
    boolean onProbation;
    /** When it last answered, as a target or as a source, and how many refused connects came since. */
    long lastAnsweredAt;

    int refusedConnects;
    int overdueAttempts;

    /** An endpoint of which nothing is known; work sent to it is remembered for the overload window. */
    Endpoint(long id, long overloadWindowUs) {
        this.id = id;
        this.hash = RendezvousHash.mix(id);
        this.failureRate = new Ewma(Smoothing.RECENT_WEIGHT);
        this.fillLatency = new ExpiringMean(Smoothing.RECENT_WEIGHT, Smoothing.LATENCY_MEMORY_US);
        this.recentWork = new SlidingWindowSum(overloadWindowUs);
    }

    /** The mean of what nodes have; 0 for no nodes. */
    static double mean(List<Endpoint> nodes, ToDoubleFunction<Endpoint> what) {
        return nodes.stream().mapToDouble(what).average().orElse(0);
    }

    /** Its process is a new one: what was seen of the one before counts for nothing. */
    void restarted(double firstLimit) {
        failureRate.forget();
        concurrencyLimit = firstLimit;
        ejectedUntil = 0;
        ejectionUs = 0;
    }

    /** It ended an attempt: with an answer of its own, or by a connection that it refused or broke. */
    void attemptEnded(long now, boolean answered) {
        refusedConnects = answered ? 0 : refusedConnects + 1;
        lastAnsweredAt = answered ? now : lastAnsweredAt;
    }

    /** It gets nothing for so long, and then one request at a time until one is served. */
    void eject(long now, long us) {
        ejectionUs = us;
        ejectedUntil = now + us;
        onProbation = true;
    }

    /** It served its trial. */
    void readmit() {
        onProbation = false;
        failureRate.forget();
        ejectionUs = 0;
    }

    /** What discovery says of it now. */
    void update(EndpointInfo now, RouterTopology place) {
        info = now;
        state = now.state();
        isParent = now.kind() == place.parentKind();
        isOrigin = now.kind() == place.originKind();
    }

    boolean isParent() {
        return isParent;
    }

    boolean isOrigin() {
        return isOrigin;
    }

    boolean isCache() {
        return !isParent && !isOrigin;
    }

    boolean isCacheOf(int zone) {
        return isCache() && info.zone() == zone;
    }

    /** Draining and gone nodes get nothing from the moment they are told of, as target and as source. */
    boolean isReady() {
        return state == EndpointState.READY;
    }

    /** Whether it gets nothing new now, since it drains or for how it answers. */
    boolean isAvoided(long now) {
        return state == EndpointState.DRAINING || isReady() && now < ejectedUntil;
    }

    /** Nothing of it is out, and none was sent in the time in which a cold node falls. */
    boolean isIdle(long now) {
        return ownInFlight + fillsInFlight == 0 && recentWork.at(now) == 0;
    }

    /** Attempts in hand: this director's and those that its location's other directors told. */
    int inFlight() {
        return ownInFlight + peersInFlight;
    }
}
