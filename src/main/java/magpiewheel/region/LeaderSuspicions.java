package magpiewheel.region;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;

/** Reports overdue responses of leading parents, and ejects a parent whose hang is confirmed. */
final class LeaderSuspicions {
    /** Routers that a suspicion is sent to, besides the proposer. */
    private static final int SUSPICION_RECEIVERS = 2;

    private final RegionState state;
    private final RegionMessageSender sender;
    private final LongConsumer onEjected;
    private long nextReportAt = Long.MAX_VALUE;

    /** Suspicions of the state's parents; the callback is called with the time when a parent is ejected. */
    LeaderSuspicions(RegionState state, RegionMessageSender sender, LongConsumer onEjected) {
        this.state = state;
        this.sender = sender;
        this.onEjected = onEjected;
    }

    /** When suspicions are to be reported again. */
    long due() {
        return nextReportAt;
    }

    /** Reports the leading parents whose responses are overdue, at once and again while they are. */
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

    /** A router reported that a parent's responses are overdue. */
    void suspicionReceived(long now, int router, RegionMessage.Suspicion suspicion) {
        boolean ejected = state.hangDetector.addSuspicion(
                now, router, suspicion.leader(), suspicion.silentUs(), suspicion.overdue());
        if (ejected) {
            state.ranking.forget(suspicion.leader());
            onEjected.accept(now);
        }
    }

    /** A router reported with its vote what it measured of a parent. */
    void reportReceived(long now, int router, RegionMessage.Vote vote, RegionMessage.ParentReport report) {
        // The vote came after the request that it answers: so did the parent's responses, so long before it.
        state.hangDetector.responded(vote.requestSentAt() - report.respondedAgoUs(), report.parent());
        state.ranking.addReport(now, router, report);
        if (report.silentUs() > 0 && !state.hangDetector.isEjected(now, report.parent())) {
            suspicionReceived(
                    now, router, new RegionMessage.Suspicion(vote.header(), report.parent(), report.silentUs(), 1));
        }
    }
}
