package magpiewheel.routing;

import java.util.List;

/**
 * How long transfers take: by the size of a request where it is known, else by the mean of its class; and how many of
 * each size were answered. It only counts.
 */
final class TransferTimes {
    private static final double SECOND_US = 1e6;
    private final List<RequestClass> requestClasses;
    private final double transferKbPerS;
    private final Ewma[] mean;
    private final double[] careful;
    private final AnswerRateBySize answered;

    /**
     * Times of these classes.
     *
     * @param transferKbPerS the pace of a client's transfer; 0 where the settings do not say
     */
    TransferTimes(List<RequestClass> requestClasses, double transferKbPerS) {
        this.requestClasses = requestClasses;
        this.transferKbPerS = transferKbPerS;
        mean = new Ewma[requestClasses.size()];
        answered = new AnswerRateBySize(requestClasses.size());
        careful = requestClasses.stream()
                .mapToDouble(RequestClass::latencyObjectiveUs)
                .toArray();
        for (int i = 0; i < mean.length; i++) {
            mean[i] = new Ewma(Smoothing.LONG_TERM_WEIGHT);
        }
    }

    /** Whether the request's own size determines how long its transfer takes. */
    boolean sized(RoutingRequest request) {
        return request.sizeKb() > 0 && transferKbPerS > 0;
    }

    /** A request arrived; where its size is known, so is its transfer time. */
    void requested(RoutingRequest request) {
        if (sized(request)) {
            double mostUs = requestClasses.get(request.requestClass()).deadlineUs();
            add(request.requestClass(), Math.min(transferUs(request), mostUs), true);
        }
    }

    /** A request got its final answer: served, or rejected or failed. */
    void ended(RoutingRequest request, boolean served) {
        answered.add(request.requestClass(), transferUs(request), served);
    }

    /** Whether requests as large as this one are answered less often than their class, times the floor. */
    boolean fallsShort(RoutingRequest request, double floor) {
        return answered.fallsShort(request.requestClass(), transferUs(request), floor);
    }

    /** A hit took so long; it counts where the size is unknown. */
    void measured(RoutingRequest request, double us, boolean lowLoad) {
        if (!sized(request)) {
            add(request.requestClass(), us, lowLoad || !mean[request.requestClass()].hasSamples());
        }
    }

    /** A transfer took so long; {@code plain} unless it may have shared a link with many others. */
    void add(int profile, double us, boolean plain) {
        careful[profile] += Smoothing.RECENT_WEIGHT * (us - careful[profile]);
        if (plain) {
            mean[profile].add(us);
        }
    }

    /** Mean transfer time of a class, us; at first its latency objective, which is longer. */
    double workUs(int profile) {
        return mean[profile].or(requestClasses.get(profile).latencyObjectiveUs());
    }

    /**
     * The estimate for hard limits, us: a class's mean, but its objective until many were measured. The first few say
     * little where sizes differ much, and those that end first are the short ones.
     */
    double carefulUs(int profile) {
        return Math.max(careful[profile], workUs(profile));
    }

    /** The longest such estimate of the classes that read. */
    double longestReadUs() {
        double longest = 0;
        for (int i = 0; i < mean.length; i++) {
            longest = requestClasses.get(i).write() ? longest : Math.max(longest, carefulUs(i));
        }
        return longest;
    }

    /** The transfer time of this very request where its size is known, else the mean of its class, us. */
    double transferUs(RoutingRequest request) {
        return sized(request) ? request.sizeKb() / transferKbPerS * SECOND_US : workUs(request.requestClass());
    }

    /** The latency objective grows with the request's own transfer time, but never past its deadline, us. */
    double latencyObjectiveUs(InFlightRequest request) {
        RequestClass requestClass = request.requestClass;
        double objectiveUs =
                requestClass.latencyObjectiveUs() + requestClass.objectiveStretch() * transferUs(request.request);
        return Math.min(objectiveUs, request.deadline - request.arrivedAt);
    }
}
