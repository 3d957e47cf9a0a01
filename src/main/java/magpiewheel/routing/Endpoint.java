package magpiewheel.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** A cache, a parent or the origin, with what this router measured of it. */
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
    /** When it last responded, as a target or as a source, and how many connections it refused or lost since. */
    long lastAnsweredAt;

    int connectionFailures;
    int overdueAttempts;

    /** An endpoint of which nothing is known; work sent to it is remembered for the overload window. */
    Endpoint(long id, long overloadWindowUs) {
        this.id = id;
        this.hash = RendezvousHash.mix(id);
        this.failureRate = new Ewma(Smoothing.RECENT_WEIGHT);
        this.fillLatency = new ExpiringMean(Smoothing.RECENT_WEIGHT, Smoothing.LATENCY_MEMORY_US);
        this.recentWork = new SlidingWindowSum(overloadWindowUs);
    }

    /** The mean of a value over endpoints; 0 for none. */
    static double mean(List<Endpoint> endpoints, ToDoubleFunction<Endpoint> value) {
        return endpoints.stream().mapToDouble(value).average().orElse(0);
    }

    /** Its process was restarted: what was measured of the one before no longer counts. */
    void restarted(double initialLimit) {
        failureRate.forget();
        concurrencyLimit = initialLimit;
        ejectedUntil = 0;
        ejectionUs = 0;
    }

    /** An attempt ended: with a response of its own, or by a connection that it refused or lost. */
    void attemptEnded(long now, boolean answered) {
        connectionFailures = answered ? 0 : connectionFailures + 1;
        lastAnsweredAt = answered ? now : lastAnsweredAt;
    }

    /** It gets nothing for so long, and then one request at a time until one succeeds. */
    void eject(long now, long durationUs) {
        ejectionUs = durationUs;
        ejectedUntil = now + durationUs;
        onProbation = true;
    }

    /** Its probation ended with a success. */
    void readmit() {
        onProbation = false;
        failureRate.forget();
        ejectionUs = 0;
    }

    /** Takes over what discovery says of it. */
    void update(EndpointInfo newInfo, RouterTopology topology) {
        info = newInfo;
        state = newInfo.state();
        isParent = newInfo.kind() == topology.parentKind();
        isOrigin = newInfo.kind() == topology.originKind();
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

    /** Whether it may be a target or a source at all: draining and removed endpoints may not, from the notice on. */
    boolean isReady() {
        return state == EndpointState.READY;
    }

    /** Whether it gets nothing new now, since it drains or is ejected. */
    boolean isAvoided(long now) {
        return state == EndpointState.DRAINING || isReady() && now < ejectedUntil;
    }

    /** Whether nothing is in flight there, and nothing was sent within the overload window. */
    boolean isIdle(long now) {
        return ownInFlight + fillsInFlight == 0 && recentWork.at(now) == 0;
    }

    /** Attempts in flight: this router's and those that its peers reported. */
    int inFlight() {
        return ownInFlight + peersInFlight;
    }
}
