package magpiewheel.membership;

/** The local member's own status and incarnation, and whether a younger process has superseded this one. */
final class LocalMember {
    /** Time for which datagrams sent to the older of two processes may still arrive. */
    private static final long MAX_LATE_DATAGRAM_US = 1_000_000;

    private final MemberTable members;
    private final Member self;
    private final HeartbeatMonitor monitor;
    private final UpdateDissemination dissemination;
    private boolean superseded;
    private long supersededAt;
    private long successorIncarnation;

    LocalMember(MembershipContext context) {
        members = context.members;
        self = members.self();
        monitor = context.monitor;
        dissemination = context.dissemination;
    }

    /** Whether a younger process acts as this member. */
    boolean isSuperseded() {
        return superseded;
    }

    /** Announces that this member serves. */
    void startServing(long now) {
        if (self.status == MemberStatus.JOINING) {
            announce(now, MemberStatus.ALIVE, self.incarnation);
        }
    }

    /** Announces that this member drains, or that it no longer does. */
    void setDraining(long now, boolean draining) {
        if (draining && self.status != MemberStatus.LEFT) {
            announce(now, MemberStatus.LEFT, self.incarnation);
        } else if (!draining && self.status == MemberStatus.LEFT) {
            announce(now, MemberStatus.ALIVE, self.incarnation + 1);
        }
    }

    private void announce(long now, MemberStatus status, long incarnation) {
        members.set(self, status, incarnation);
        dissemination.announce(now, self);
    }

    /**
     * Ends the superseded state if a datagram arrives more than {@link #MAX_LATE_DATAGRAM_US} after it began: a younger
     * process, if it still ran, would have received that datagram.
     */
    void datagramReceived(long now) {
        if (superseded && now - supersededAt > MAX_LATE_DATAGRAM_US) {
            superseded = false;
            announce(now, self.status, successorIncarnation + 1);
        }
    }

    /**
     * Handles an update about this member: a younger process has superseded this one, or this member refutes the
     * update.
     */
    void merge(long now, MemberUpdate update) {
        boolean running = update.status() == MemberStatus.JOINING || update.status() == MemberStatus.ALIVE;
        boolean newer = update.incarnation() > self.incarnation;
        if (newer && running && !monitor.isSettling(now)) {
            superseded = true;
            supersededAt = now;
            successorIncarnation = update.incarnation();
        } else if (newer || update.incarnation() == self.incarnation && mustRefute(update)) {
            superseded = false;
            announce(now, self.status, update.incarnation() + 1);
        }
    }

    private boolean mustRefute(MemberUpdate update) {
        boolean refutable = update.declaresFailure() || update.status() == MemberStatus.LEFT;
        return refutable && self.status != MemberStatus.LEFT;
    }
}
