package magpiewheel.routing;

/**
 * Decides which requests are shed first under load: those with a low priority weight for the transfer time that they
 * need. It scales the limits that admit a request.
 */
final class LoadShedder {
    /**
     * Multiples of a limit at which the least and the most valuable requests are shed; their mean is 1, the limit
     * itself.
     */
    private static final double MIN_LIMIT_FACTOR = 0.5;

    private static final double MAX_LIMIT_FACTOR = 1.5;
    /**
     * Answer rate of the largest requests, relative to their class's, below which they have at least the rank
     * {@link #MIN_UNDERSERVED_RANK}.
     */
    private static final double SIZE_FAIRNESS_FLOOR = 0.7;

    private static final double MIN_UNDERSERVED_RANK = 0.75;

    private final TransferTimes transfers;
    private final DemandDistribution demand = new DemandDistribution();

    LoadShedder(TransferTimes transfers) {
        this.transfers = transfers;
    }

    /** Records the arrival of a read. */
    void requested(InFlightRequest request) {
        demand.add(valueDensity(request), transfers.transferUs(request.request));
    }

    /** Returns the multiple of a limit up to which a request is admitted. */
    double limitFactor(InFlightRequest request) {
        double rank = demand.shareBelow(valueDensity(request));
        boolean underserved = transfers.isUnderserved(request.request, SIZE_FAIRNESS_FLOOR);
        double fairRank = underserved ? Math.max(MIN_UNDERSERVED_RANK, rank) : rank;
        return MIN_LIMIT_FACTOR + (MAX_LIMIT_FACTOR - MIN_LIMIT_FACTOR) * fairRank;
    }

    /** Returns the priority weight divided by the transfer time; writes have the maximum and are shed last. */
    private double valueDensity(InFlightRequest request) {
        double density = request.requestClass.priorityWeight() / transfers.transferUs(request.request);
        return request.requestClass.write() ? Double.MAX_VALUE : density;
    }
}
