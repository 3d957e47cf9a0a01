package magpiewheel.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Determines whether this member's view is complete, partial or isolated. */
final class PartitionDetector {
    /** Heartbeats after the start from which hearing no member means isolation. */
    private static final int ISOLATED_AFTER_HEARTBEATS = 20;
    /** Time for which a better verdict has to hold before it is adopted. */
    private static final long RECOVERY_US = 2_000_000;

    private final MembershipConfig config;
    private final MemberTable members;
    private final HeartbeatMonitor monitor;
    private final VerdictHysteresis verdict;
    private final long refutationUs;
    /** Members whose last datagram said that they hear this one. */
    private final Set<Member> hearers = new LinkedHashSet<>();

    private boolean zoneLost;

    PartitionDetector(MembershipContext context) {
        config = context.config;
        members = context.members;
        monitor = context.monitor;
        refutationUs = FailureDetector.refutationUs(config);
        verdict = new VerdictHysteresis(HeartbeatMonitor.SUSPECT_AFTER_HEARTBEATS * config.heartbeatUs(), RECOVERY_US);
    }

    /** Returns the verdict on this member's own view. */
    PartitionVerdict verdict() {
        return verdict.current();
    }

    /** Whether this member is isolated, so that its view of others means nothing. */
    boolean isIsolated() {
        return verdict.current() == PartitionVerdict.ISOLATED;
    }

    /** Records whether the sender of a datagram hears this member. Returns whether it does so only now. */
    boolean recordHearer(Member sender, boolean hears) {
        if (!hears) {
            hearers.remove(sender);
            return false;
        }
        return hearers.add(sender);
    }

    /** Whether some member both hears this one and is heard by it. */
    boolean hasTwoWayContact(long now) {
        hearers.removeIf(member -> !monitor.isHeard(now, member));
        return !hearers.isEmpty();
    }

    /** Updates the verdict. */
    void update(long now, boolean inContact, List<Member> neighbours) {
        boolean meaningful =
                monitor.heardAnyone() || monitor.uptimeUs(now) > ISOLATED_AFTER_HEARTBEATS * config.heartbeatUs();
        boolean isolated = !inContact && meaningful && members.self().status != MemberStatus.LEFT;
        verdict.update(now, isolated ? PartitionVerdict.ISOLATED : completeness(now, neighbours));
    }

    private PartitionVerdict completeness(long now, List<Member> neighbours) {
        boolean partial = zoneLost || neighbours.stream().anyMatch(member -> isHeardByOthersOnly(now, member));
        return partial ? PartitionVerdict.PARTIAL : PartitionVerdict.COMPLETE;
    }

    /** Whether a neighbour has been silent for longer than a declaration of its death takes: others must hear it. */
    private boolean isHeardByOthersOnly(long now, Member member) {
        long declaredAfterUs = monitor.silenceUs(member)
                + refutationUs
                + HeartbeatMonitor.SUSPECT_AFTER_HEARTBEATS * config.heartbeatUs();
        return member.incarnation > 0
                && member.isInRing()
                && member.isObserved()
                && now - monitor.silentSince(member) > declaredAfterUs;
    }

    /** Determines whether some zone has no member in the rings any more, with at least one death unproven. */
    void updateLostZones() {
        int[] deadCount = new int[MemberUpdate.UNKNOWN_ZONE + 1];
        boolean[] hasRunning = new boolean[MemberUpdate.UNKNOWN_ZONE + 1];
        for (Member member : members.all()) {
            if (member.incarnation > 0 && member.zone != MemberUpdate.UNKNOWN_ZONE) {
                hasRunning[member.zone] |= member.isInRing();
                deadCount[member.zone] += member.status == MemberStatus.DEAD && member.unreachableProvenMs == 0 ? 1 : 0;
            }
        }
        zoneLost = false;
        for (int zone = 0; zone < deadCount.length; zone++) {
            zoneLost |= deadCount[zone] > 0 && !hasRunning[zone];
        }
    }
}
