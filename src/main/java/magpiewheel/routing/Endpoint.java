package magpiewheel.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** A cache, a parent or the origin, with this router's measurements of it. */
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
    /** When it last responded, as a target or as a fill source. */
    long lastAnsweredAt;

    /** Connections in a row that were refused or lost. */
    int connectionFailures;

    int overdueAttempts;

    /** Creates an endpoint without measurements; work sent to it is summed over the overload window. */
    Endpoint(long id, long overloadWindowUs) {
        this.id = id;
        this.hash = RendezvousHash.mix(id);
        this.failureRate = new Ewma(Smoothing.RECENT_WEIGHT);
        this.fillLatency = new ExpiringMean(Smoothing.RECENT_WEIGHT, Smoothing.LATENCY_MEMORY_US);
        this.recentWork = new SlidingWindowSum(overloadWindowUs);
    }

    /** Returns the mean of a value over endpoints; 0 without endpoints. */
    static double mean(List<Endpoint> endpoints, ToDoubleFunction<Endpoint> value) {
        return endpoints.stream().mapToDouble(value).average().orElse(0);
    }

    /** Discards the health and the concurrency limit that were measured before its process was restarted. */
    void restarted(double initialLimit) {
        failureRate.forget();
        concurrencyLimit = initialLimit;
        ejectedUntil = 0;
        ejectionUs = 0;
    }

    /** Records the end of an attempt: with a response, or with a connection that was refused or lost. */
    void attemptEnded(long now, boolean answered) {
        connectionFailures = answered ? 0 : connectionFailures + 1;
        lastAnsweredAt = answered ? now : lastAnsweredAt;
    }

    /** Ejects it for a time; afterwards it is on probation, and receives one request at a time until one succeeds. */
    void eject(long now, long durationUs) {
        ejectionUs = durationUs;
        ejectedUntil = now + durationUs;
        onProbation = true;
    }

    /** Ends its probation, after a success. */
    void readmit() {
        onProbation = false;
        failureRate.forget();
        ejectionUs = 0;
    }

    /** Updates it with an entry from discovery. */
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

    /** Whether it may be a target or a fill source; from its notice on, a draining or removed endpoint may not. */
    boolean isReady() {
        return state == EndpointState.READY;
    }

    /** Whether it receives no new requests now because it is draining or ejected. */
    boolean isAvoided(long now) {
        return state == EndpointState.DRAINING || isReady() && now < ejectedUntil;
    }

    /** Whether this router has nothing in flight there, and sent it nothing within the overload window. */
    boolean isIdle(long now) {
        return ownInFlight + fillsInFlight == 0 && recentWork.at(now) == 0;
    }

    /** Returns the attempts in flight there: this router's and those that its peers reported. */
    int inFlight() {
        return ownInFlight + peersInFlight;
    }
}
