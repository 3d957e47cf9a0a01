package magpiewheel.routing;

import java.util.List;

/**
 * How long transfers take: that of a request where its size is told, else the mean of its class; and how many of each
 * size were answered. It only counts.
 */
final class TransferTimes {
    private static final double SECOND_US = 1e6;
    private final List<RequestClass> profiles;
    private final double flowKbPerS;
    private final double carefulWeight;
    private final Ewma[] mean;
    private final double[] careful;
    private final AnswerRateBySize answered;

    /**
     * For classes at a client's pace (0 where that is not told); means move by these weights, those for hard limits by
     * the second.
     */
    TransferTimes(List<RequestClass> profiles, double flowKbPerS, double weight, double carefulWeight) {
        this.profiles = profiles;
        this.flowKbPerS = flowKbPerS;
        this.carefulWeight = carefulWeight;
        mean = new Ewma[profiles.size()];
        answered = new AnswerRateBySize(profiles.size());
        careful =
                profiles.stream().mapToDouble(RequestClass::latencyObjectiveUs).toArray();
        for (int i = 0; i < mean.length; i++) {
            mean[i] = new Ewma(weight);
        }
    }

    /** Whether the request's own size tells how long its transfer takes. */
    boolean sized(RoutingRequest request) {
        return request.sizeKb() > 0 && flowKbPerS > 0;
    }

    /** A request came: where it tells its size, that is what its transfer takes. */
    void asked(RoutingRequest request) {
        if (sized(request)) {
            double mostUs = profiles.get(request.requestClass()).deadlineUs();
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
    void took(RoutingRequest request, double us, boolean quiet) {
        if (!sized(request)) {
            add(request.requestClass(), us, quiet || !mean[request.requestClass()].heard());
        }
    }

    /** One took so long; {@code plain} unless it may have shared its node's link with many others. */
    void add(int profile, double us, boolean plain) {
        careful[profile] += carefulWeight * (us - careful[profile]);
        if (plain) {
            mean[profile].add(us);
        }
    }

    /** Mean sending time of a class, us; before anything was seen its aim, which is longer. */
    double workUs(int profile) {
        return mean[profile].or(profiles.get(profile).latencyObjectiveUs());
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
            longest = profiles.get(i).write() ? longest : Math.max(longest, carefulUs(i));
        }
        return longest;
    }

    /** Sending time of this very request where its size is told, else its class's mean, us. */
    double ownUs(RoutingRequest request) {
        return sized(request) ? request.sizeKb() / flowKbPerS * SECOND_US : workUs(request.requestClass());
    }
}
