package magpiewheel.membership;

import java.util.SplittableRandom;

/** Objects that all classes of the membership share. */
final class MembershipContext {
    final MembershipConfig config;
    final DatagramSender sender;
    final MemberTable members;
    final ObserverRings rings;
    final HeartbeatMonitor monitor;
    final RoundSchedule schedule;
    final UpdateDissemination dissemination;
    final SplittableRandom random;

    MembershipContext(long now, MembershipConfig config, DatagramSender sender) {
        this.config = config;
        this.sender = sender;
        rings = new ObserverRings(config.memberCount());
        random = new SplittableRandom(ObserverRings.mix(config.startedMs(), config.memberId()));
        monitor = new HeartbeatMonitor(config, now);
        schedule = new RoundSchedule(config, now);
        members = new MemberTable(config);
        dissemination = new UpdateDissemination(config, members, schedule);
    }
}
