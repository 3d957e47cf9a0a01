package magpiewheel.region;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;

/** Reports overdue responses of leading parents, and ejects a parent whose hang is confirmed. */
final class LeaderSuspicions {
    /** Number of routers that receive a suspicion, besides the proposer. */
    private static final int SUSPICION_RECEIVERS = 2;

    private final RegionState state;
    private final RegionMessageSender sender;
    private final LongConsumer onEjected;
    private long nextReportAt = Long.MAX_VALUE;

    /**
     * Creates the reporter for the parents of {@code state}; {@code onEjected} is called with the current time when a
     * parent is ejected.
     */
    LeaderSuspicions(RegionState state, RegionMessageSender sender, LongConsumer onEjected) {
        this.state = state;
        this.sender = sender;
        this.onEjected = onEjected;
    }

    /** Returns the time at which suspicions must be reported again. */
    long due() {
        return nextReportAt;
    }

    /** Reports the leading parents whose responses are overdue, and schedules the next report while there are any. */
    void report(long now) {
        nextReportAt = Long.MAX_VALUE;
        Lease lease = state.lease(now);
        if (lease == null) {
            return;
        }
        Set<Long> leadingParents =
                new HashSet<>(List.of(lease.leader(), lease.placement().spillParent()));
        for (long parent : leadingParents) {
            ParentObservations observed = state.observations.get(parent);
            if (observed != null && observed.overdueResponses(now) > 0) {
                nextReportAt = now + Lease.RENEWAL_US;
                report(
                        now,
                        new RegionMessage.Suspicion(
                                state.header(lease.term()),
                                parent,
                                observed.silentUs(now),
                                observed.overdueResponses(now)));
            }
        }
    }

    private void report(long now, RegionMessage.Suspicion suspicion) {
        int self = state.config.routerId();
        List<Integer> others = state.otherRouters();
        Set<Integer> receivers = new HashSet<>(others.subList(0, Math.min(SUSPICION_RECEIVERS, others.size())));
        if (state.election.proposer() >= 0) {
            receivers.add(state.election.proposer());
        }
        receivers.remove(self);
        receivers.forEach(router -> sender.send(router, RegionMessageCodec.encode(suspicion)));
        suspicionReceived(now, self, suspicion);
    }

    /** Handles a router's suspicion of a parent. */
    void suspicionReceived(long now, int router, RegionMessage.Suspicion suspicion) {
        boolean ejected = state.hangDetector.addSuspicion(
                now, router, suspicion.leader(), suspicion.silentUs(), suspicion.overdue());
        if (ejected) {
            state.ranking.forget(suspicion.leader());
            onEjected.accept(now);
        }
    }

    /** Handles the measurements of a parent that a router sent with its vote. */
    void reportReceived(long now, int router, RegionMessage.Vote vote, RegionMessage.ParentReport report) {
        // The vote was sent after the request that it answers, so the parent responded at this time or later.
        state.hangDetector.responded(vote.requestSentAt() - report.respondedAgoUs(), report.parent());
        state.ranking.addReport(now, router, report);
        if (report.silentUs() > 0 && !state.hangDetector.isEjected(now, report.parent())) {
            suspicionReceived(
                    now, router, new RegionMessage.Suspicion(vote.header(), report.parent(), report.silentUs(), 1));
        }
    }
}
