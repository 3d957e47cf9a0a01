package magpiewheel.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The neighbours of this member in the rings, with which it exchanges heartbeats and which it observes. */
final class Neighbours {
    private final MembershipConfig config;
    private final MemberTable members;
    private final ObserverRings rings;
    private final HeartbeatMonitor monitor;
    private final RoundSchedule schedule;
    private List<Member> neighbours = List.of();

    Neighbours(MembershipContext context) {
        config = context.config;
        members = context.members;
        rings = context.rings;
        monitor = context.monitor;
        schedule = context.schedule;
    }

    /** Returns the neighbours as of the last update. */
    List<Member> list() {
        return neighbours;
    }

    /** Whether a member is a neighbour. */
    boolean contains(Member member) {
        return neighbours.contains(member);
    }

    /** Recomputes the neighbours if the table changed or a neighbour fell silent. Returns whether it did. */
    boolean update(long now) {
        for (Member member : neighbours) {
            if (member.isInRing() && member.status != MemberStatus.SUSPECT && monitor.isSilent(now, member)) {
                members.markChanged();
            }
        }
        if (!members.takeChanged()) {
            return false;
        }
        Set<Integer> around = rings.observersOf(
                config.memberId(),
                id -> members.get(id) != members.self() && members.get(id).isInRing(),
                id -> isDoubtful(now, members.get(id)));
        for (Member member : neighbours) {
            if (!around.contains(member.id)) {
                member.stopObserving();
            }
        }
        List<Member> next = new ArrayList<>(around.size());
        for (int id : around) {
            observe(now, members.get(id));
            next.add(members.get(id));
        }
        neighbours = next;
        return true;
    }

    private boolean isDoubtful(long now, Member member) {
        return member.status == MemberStatus.SUSPECT || member.probesRefused > 0 || monitor.isSilent(now, member);
    }

    private void observe(long now, Member member) {
        if (!member.isObserved() && member.status == MemberStatus.SUSPECT) {
            // Sends the next round early, so that the suspect answers soon.
            schedule.flushSoon(now);
        }
        long recentUs = HeartbeatMonitor.SUSPECT_AFTER_HEARTBEATS * config.heartbeatUs();
        if (!member.isObserved() && now - members.lastLossAt() <= recentUs) {
            // Its other observers may have failed together with it.
            member.possiblyUnobserved = true;
        }
        member.observe(now);
    }
}
