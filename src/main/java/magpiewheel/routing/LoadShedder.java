package magpiewheel.routing;

/**
 * Which requests are shed first under load: those whose priority weight is low for the transfer time that they need. It
 * scales the limits that a request is admitted by.
 */
final class LoadShedder {
    /** Multiple of a limit at which the least valuable requests are shed, and the most: 1, the limit, in the mean. */
    private static final double MIN_LIMIT_FACTOR = 0.5;

    private static final double MAX_LIMIT_FACTOR = 1.5;
    /** Answered share of the largest requests, over their class's, below which they get at least the rank below. */
    private static final double SIZE_FAIRNESS_FLOOR = 0.7;

    private static final double MIN_UNDERSERVED_RANK = 0.75;

    private final TransferTimes transfers;
    private final DemandDistribution demand = new DemandDistribution();

    LoadShedder(TransferTimes transfers) {
        this.transfers = transfers;
    }

    /** A read arrived. */
    void requested(InFlightRequest request) {
        demand.add(valueDensity(request), transfers.transferUs(request.request));
    }

    /** The multiple of a limit up to which a request is admitted. */
    double limitFactor(InFlightRequest request) {
        double rank = demand.shareBelow(valueDensity(request));
        boolean underserved = transfers.isUnderserved(request.request, SIZE_FAIRNESS_FLOOR);
        double fairRank = underserved ? Math.max(MIN_UNDERSERVED_RANK, rank) : rank;
        return MIN_LIMIT_FACTOR + (MAX_LIMIT_FACTOR - MIN_LIMIT_FACTOR) * fairRank;
    }

    /** Priority weight by transfer time; writes are shed last. */
    private double valueDensity(InFlightRequest request) {
        double density = request.requestClass.priorityWeight() / transfers.transferUs(request.request);
        return request.requestClass.write() ? Double.MAX_VALUE : density;
    }
}
