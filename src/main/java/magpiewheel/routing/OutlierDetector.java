package magpiewheel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * Ejects endpoints that fail far more often than their tier, refuse connections or are unresponsive. After an ejection
 * the endpoint is on probation, with one request at a time, until a request succeeds.
 */
final class OutlierDetector {
    /** Failure rate above which an endpoint may be ejected; no healthy endpoint fails half of its attempts. */
    private static final double MIN_FAILURE_RATE = 0.4;
    /** Multiple of its tier's failure rate above which an endpoint is an outlier; below, the cause lies elsewhere. */
    static final double FAILURE_RATIO = 2;
    /** Share of a tier that stays in use regardless of its health, so that no tier is ejected as a whole. */
    private static final double MIN_SHARE_IN_USE = 0.5;
    /**
     * First and longest ejection, in microseconds; the duration doubles with each ejection. The first is short compared
     * with the seconds that faults last.
     */
    private static final long MIN_EJECTION_US = 1_000_000;

    private static final long MAX_EJECTION_US = 8_000_000;
    /**
     * Silence of an endpoint, in microseconds, and number of overdue attempts from which it is unresponsive. The number
     * of refused connections in a row that eject an endpoint is the same.
     */
    private static final long UNRESPONSIVE_AFTER_US = 400_000;

    private static final int OVERDUE_ATTEMPTS = 3;

    private final EndpointTable endpoints;
    private final TransferTimes transfers;
    private final RoutingActions actions;
    private final boolean mayCancel;
    /** Whether a tier may be ejected as a whole, since requests may bypass it. */
    private final boolean mayBypassCaches;

    OutlierDetector(
            RoutingSettings settings, EndpointTable endpoints, TransferTimes transfers, RoutingActions actions) {
        this.endpoints = endpoints;
        this.transfers = transfers;
        this.actions = actions;
        mayCancel = settings.limits().mayCancel();
        mayBypassCaches = settings.mayBypassCaches();
    }

    /** Whether an endpoint may receive ordinary traffic; one on probation gets one request at a time. */
    boolean isUsable(long now, Endpoint endpoint) {
        if (now < endpoint.ejectedUntil) {
            return false;
        }
        return !endpoint.onProbation || endpoint.ownInFlight + endpoint.fillsInFlight == 0;
    }

    /** Records a success of an endpoint, which ends its probation. */
    void succeeded(Endpoint endpoint) {
        endpoint.failureRate.add(0);
        if (endpoint.onProbation) {
            endpoint.readmit();
        }
    }

    /** Records a failure of an endpoint, and ejects it if it is an outlier or on probation. */
    void failed(long now, Endpoint endpoint) {
        endpoint.failureRate.add(1);
        if (endpoint.onProbation || isOutlier(endpoint)) {
            eject(now, endpoint, false);
        }
    }

    private boolean isOutlier(Endpoint endpoint) {
        List<Endpoint> others = new ArrayList<>(endpoints.tierOf(endpoint));
        others.remove(endpoint);
        double tierRate = Endpoint.mean(others, other -> other.failureRate.or(0));
        return endpoint.failureRate.or(0) > Math.max(MIN_FAILURE_RATE, FAILURE_RATIO * tierRate);
    }

    /**
     * Records whether the connection of an attempt failed. Several failed connections in a row prove that the endpoint
     * does not run, and eject it.
     */
    void recordConnectionResult(long now, Endpoint endpoint, AttemptResult result) {
        boolean unreachable = result == AttemptResult.UNREACHABLE || result == AttemptResult.CONNECTION_LOST;
        endpoint.attemptEnded(now, !unreachable);
        if (endpoint.connectionFailures >= OVERDUE_ATTEMPTS) {
            eject(now, endpoint, true);
        }
    }

    /**
     * Ejects an endpoint while enough of its tier stays in use, or if it is proven not to respond and requests may
     * bypass its tier.
     */
    private void eject(long now, Endpoint endpoint, boolean proven) {
        List<Endpoint> tier = endpoints.tierOf(endpoint);
        Predicate<Endpoint> inUse = other -> other != endpoint && now >= other.ejectedUntil;
        boolean enoughInUse = tier.stream().filter(inUse).count() >= MIN_SHARE_IN_USE * tier.size();
        if (now >= endpoint.ejectedUntil && (enoughInUse || proven && mayBypassCaches)) {
            long ejectionUs = Math.max(MIN_EJECTION_US, 2 * endpoint.ejectionUs);
            endpoint.eject(now, Math.min(MAX_EJECTION_US, ejectionUs));
        }
    }

    /**
     * Ejects unresponsive endpoints and cancels the attempts in flight there, since discovery reports late that an
     * endpoint vanished.
     */
    void checkUnresponsive(long now, Collection<InFlightRequest> inFlight) {
        endpoints.all().forEach(endpoint -> endpoint.overdueAttempts = 0);
        List<InFlightRequest> requests = new ArrayList<>(inFlight);
        for (InFlightRequest request : requests) {
            Endpoint suspect = unresponsive(now, request);
            if (suspect != null && ++suspect.overdueAttempts >= (suspect.onProbation ? 1 : OVERDUE_ATTEMPTS)) {
                eject(now, suspect, true);
            }
        }
        for (InFlightRequest request : requests) {
            Endpoint suspect = unresponsive(now, request);
            if (suspect != null && now < suspect.ejectedUntil && mayCancel) {
                request.lastAttempt().sourceAtFault = suspect != request.lastAttempt().target;
                actions.cancelAttempt(request.request.id(), request.attempts.size() - 1);
            }
        }
    }

    /**
     * Returns the silent endpoint that delays an overdue attempt: its target, or its source if the target responds.
     * Returns null if there is none, or if it is the origin.
     */
    private Endpoint unresponsive(long now, InFlightRequest request) {
        Attempt last = request.lastAttempt();
        boolean open = last != null && last.open && !request.requestClass.write();
        if (!open || now - last.sentAt < 2 * transfers.transferUs(request.request) + UNRESPONSIVE_AFTER_US) {
            return null;
        }
        Endpoint suspect = now - last.target.lastAnsweredAt > UNRESPONSIVE_AFTER_US ? last.target : last.source;
        long silenceUs = UNRESPONSIVE_AFTER_US * (suspect.isParent() ? 2 : 1);
        return suspect.isOrigin() || now - suspect.lastAnsweredAt < silenceUs ? null : suspect;
    }
}
