package magpiewheel.routing;

import java.util.List;

/**
 * How long transfers take: that of a request where its size is told, else the mean of its class; and how many of each
 * size were answered. It only counts.
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

    /** Whether the request's own size tells how long its transfer takes. */
    boolean sized(RoutingRequest request) {
        return request.sizeKb() > 0 && transferKbPerS > 0;
    }

    /** A request came: where it tells its size, that is what its transfer takes. */
    void requested(RoutingRequest request) {
        if (sized(request)) {
            double mostUs = requestClasses.get(request.requestClass()).deadlineUs();
            add(request.requestClass(), Math.min(ownUs(request), mostUs), true);
        }
    }

    /** A request got its final answer: it was answered, or refused or failed. */
    void ended(RoutingRequest request, boolean served) {
        answered.add(request.requestClass(), ownUs(request), served);
    }

    /** Whether requests as large as this one are answered less than so much of their class's share. */
    boolean fallsShort(RoutingRequest request, double floor) {
        return answered.fallsShort(request.requestClass(), ownUs(request), floor);
    }

    /** A copy that was held took so long to come; it tells where no size does. */
    void measured(RoutingRequest request, double us, boolean quiet) {
        if (!sized(request)) {
            add(request.requestClass(), us, quiet || !mean[request.requestClass()].hasSamples());
        }
    }

    /** One took so long; {@code plain} unless it may have shared its node's link with many others. */
    void add(int profile, double us, boolean plain) {
        careful[profile] += Smoothing.RECENT_WEIGHT * (us - careful[profile]);
        if (plain) {
            mean[profile].add(us);
        }
    }

    /** Mean sending time of a class, us; before anything was seen its aim, which is longer. */
    double workUs(int profile) {
        return mean[profile].or(requestClasses.get(profile).latencyObjectiveUs());
    }

    /**
     * What hard limits are kept with, us: a class's mean, but its aim until many were seen. The first few say little
     * where sizes differ much, and those that end first are the short ones.
     */
    double carefulUs(int profile) {
        return Math.max(careful[profile], workUs(profile));
    }

    /** The longest of the classes that read, as hard limits are kept with it. */
    double longestReadUs() {
        double longest = 0;
        for (int i = 0; i < mean.length; i++) {
            longest = requestClasses.get(i).write() ? longest : Math.max(longest, carefulUs(i));
        }
        return longest;
    }

    /** Sending time of this very request where its size is told, else its class's mean, us. */
    double ownUs(RoutingRequest request) {
        return sized(request) ? request.sizeKb() / transferKbPerS * SECOND_US : workUs(request.requestClass());
    }

    /** The latency objective grows with the request's own transfer time, but never past its deadline, us. */
    double latencyObjectiveUs(InFlightRequest request) {
        RequestClass requestClass = request.requestClass;
        double objectiveUs =
                requestClass.latencyObjectiveUs() + requestClass.objectiveStretch() * ownUs(request.request);
        return Math.min(objectiveUs, request.deadline - request.arrivedAt);
    }
}
