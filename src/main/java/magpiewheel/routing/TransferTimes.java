package magpiewheel.routing;

import java.util.List;

/**
 * Estimates transfer times, by the size of a request where it is known, else by the mean of its class; and counts how
 * many requests of each size were answered. Makes no decisions.
 */
final class TransferTimes {
    private static final double US_PER_SECOND = 1e6;
    private final List<RequestClass> requestClasses;
    private final double transferKbPerS;
    private final Ewma[] means;
    private final double[] conservativeMeans;
    private final AnswerRateBySize answerRates;

    /**
     * Creates the estimates of the request classes.
     *
     * @param transferKbPerS the transfer rate of a client; 0 where the settings do not specify it
     */
    TransferTimes(List<RequestClass> requestClasses, double transferKbPerS) {
        this.requestClasses = requestClasses;
        this.transferKbPerS = transferKbPerS;
        means = new Ewma[requestClasses.size()];
        answerRates = new AnswerRateBySize(requestClasses.size());
        conservativeMeans = requestClasses.stream()
                .mapToDouble(RequestClass::latencyObjectiveUs)
                .toArray();
        for (int i = 0; i < means.length; i++) {
            means[i] = new Ewma(Smoothing.LONG_TERM_WEIGHT);
        }
    }

    /** Whether the transfer time of a request follows from its size. */
    boolean hasKnownSize(RoutingRequest request) {
        return request.sizeKb() > 0 && transferKbPerS > 0;
    }

    /** Counts the transfer time of an arriving request whose size is known. */
    void requestArrived(RoutingRequest request) {
        if (hasKnownSize(request)) {
            double deadlineUs = requestClasses.get(request.requestClass()).deadlineUs();
            add(request.requestClass(), Math.min(transferUs(request), deadlineUs), true);
        }
    }

    /** Counts a request that got its final answer: served, or else rejected or failed. */
    void requestEnded(RoutingRequest request, boolean served) {
        answerRates.add(request.requestClass(), transferUs(request), served);
    }

    /** Whether the answer rate of requests as large as this one is below that of their class, times the floor. */
    boolean isUnderserved(RoutingRequest request, double floor) {
        return answerRates.isUnderserved(request.requestClass(), transferUs(request), floor);
    }

    /** Counts the duration of a hit where the size of the request is unknown. */
    void hitMeasured(RoutingRequest request, double us, boolean lowLoad) {
        if (!hasKnownSize(request)) {
            add(request.requestClass(), us, lowLoad || !means[request.requestClass()].hasSamples());
        }
    }

    /**
     * Adds a transfer time to the averages of a class.
     *
     * @param lowLoad false if the transfer may have shared a link with many others
     */
    void add(int requestClass, double us, boolean lowLoad) {
        conservativeMeans[requestClass] += Smoothing.RECENT_WEIGHT * (us - conservativeMeans[requestClass]);
        if (lowLoad) {
            means[requestClass].add(us);
        }
    }

    /**
     * Returns the mean transfer time of a class, us; before the first sample its latency objective, which is longer.
     */
    double meanUs(int requestClass) {
        return means[requestClass].or(requestClasses.get(requestClass).latencyObjectiveUs());
    }

    /**
     * Returns the estimate for hard limits, us: the mean of a class or, if that is longer, an average that starts at
     * the latency objective and approaches the samples slowly. The first few samples say little where sizes vary much,
     * and the shortest transfers end first.
     */
    double conservativeUs(int requestClass) {
        return Math.max(conservativeMeans[requestClass], meanUs(requestClass));
    }

    /** Returns the longest estimate for hard limits of the classes that are not writes, us. */
    double longestConservativeReadUs() {
        double longest = 0;
        for (int i = 0; i < means.length; i++) {
            longest = requestClasses.get(i).write() ? longest : Math.max(longest, conservativeUs(i));
        }
        return longest;
    }

    /** Returns the transfer time of a request by its size where that is known, else the mean of its class, us. */
    double transferUs(RoutingRequest request) {
        return hasKnownSize(request)
                ? request.sizeKb() / transferKbPerS * US_PER_SECOND
                : meanUs(request.requestClass());
    }

    /** Returns the latency objective of a request, us: it grows with the transfer time, up to the deadline. */
    double latencyObjectiveUs(InFlightRequest request) {
        RequestClass requestClass = request.requestClass;
        double objectiveUs =
                requestClass.latencyObjectiveUs() + requestClass.transferTimeFactor() * transferUs(request.request);
        return Math.min(objectiveUs, request.deadline - request.arrivedAt);
    }
}
