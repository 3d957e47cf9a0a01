package magpiewheel.routing;

import java.util.List;

/**
 * How long transfers take: by the size of a request where it is known, else by the mean of its class; and how many of
 * each size were answered. It only counts.
 */
final class TransferTimes {
    private static final double US_PER_SECOND = 1e6;
    private final List<RequestClass> requestClasses;
    private final double transferKbPerS;
    private final Ewma[] means;
    private final double[] conservativeMeans;
    private final AnswerRateBySize answerRates;

    /**
     * Times of these classes.
     *
     * @param transferKbPerS the pace of a client's transfer; 0 where the settings do not say
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

    /** Whether the request's own size determines how long its transfer takes. */
    boolean hasKnownSize(RoutingRequest request) {
        return request.sizeKb() > 0 && transferKbPerS > 0;
    }

    /** A request arrived; where its size is known, so is its transfer time. */
    void requestArrived(RoutingRequest request) {
        if (hasKnownSize(request)) {
            double deadlineUs = requestClasses.get(request.requestClass()).deadlineUs();
            add(request.requestClass(), Math.min(transferUs(request), deadlineUs), true);
        }
    }

    /** A request got its final answer: served, or rejected or failed. */
    void requestEnded(RoutingRequest request, boolean served) {
        answerRates.add(request.requestClass(), transferUs(request), served);
    }

    /** Whether requests as large as this one are answered less often than their class, times the floor. */
    boolean isUnderserved(RoutingRequest request, double floor) {
        return answerRates.isUnderserved(request.requestClass(), transferUs(request), floor);
    }

    /** A hit took so long; it counts where the size is unknown. */
    void hitMeasured(RoutingRequest request, double us, boolean lowLoad) {
        if (!hasKnownSize(request)) {
            add(request.requestClass(), us, lowLoad || !means[request.requestClass()].hasSamples());
        }
    }

    /** A transfer took so long; {@code lowLoad} unless it may have shared a link with many others. */
    void add(int requestClass, double us, boolean lowLoad) {
        conservativeMeans[requestClass] += Smoothing.RECENT_WEIGHT * (us - conservativeMeans[requestClass]);
        if (lowLoad) {
            means[requestClass].add(us);
        }
    }

    /** Mean transfer time of a class, us; at first its latency objective, which is longer. */
    double meanUs(int requestClass) {
        return means[requestClass].or(requestClasses.get(requestClass).latencyObjectiveUs());
    }

    /**
     * The estimate for hard limits, us: a class's mean, but its objective until many were measured. The first few say
     * little where sizes differ much, and those that end first are the short ones.
     */
    double conservativeUs(int requestClass) {
        return Math.max(conservativeMeans[requestClass], meanUs(requestClass));
    }

    /** The longest such estimate of the classes that read. */
    double longestConservativeReadUs() {
        double longest = 0;
        for (int i = 0; i < means.length; i++) {
            longest = requestClasses.get(i).write() ? longest : Math.max(longest, conservativeUs(i));
        }
        return longest;
    }

    /** The transfer time of this very request where its size is known, else the mean of its class, us. */
    double transferUs(RoutingRequest request) {
        return hasKnownSize(request)
                ? request.sizeKb() / transferKbPerS * US_PER_SECOND
                : meanUs(request.requestClass());
    }

    /** The latency objective grows with the request's own transfer time, but never past its deadline, us. */
    double latencyObjectiveUs(InFlightRequest request) {
        RequestClass requestClass = request.requestClass;
        double objectiveUs =
                requestClass.latencyObjectiveUs() + requestClass.transferTimeFactor() * transferUs(request.request);
        return Math.min(objectiveUs, request.deadline - request.arrivedAt);
    }
}
