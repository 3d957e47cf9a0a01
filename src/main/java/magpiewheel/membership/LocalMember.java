package magpiewheel.membership;

/** What this member says of itself: its status and incarnation, and whether a younger process took its place. */
final class LocalMember {
    /** us; datagrams for the older of two processes may be on their way for so long. */
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

    /** Whether a younger process speaks for this member. */
    boolean isSuperseded() {
        return superseded;
    }

    /** It serves from now on. */
    void startServing(long now) {
        if (self.status == MemberStatus.JOINING) {
            announce(now, MemberStatus.ALIVE, self.incarnation);
        }
    }

    /** It drains from now on, or no longer. */
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

    /** A datagram came: while a younger process runs it would have got it, so that one has ended. */
    void datagramReceived(long now) {
        if (superseded && now - supersededAt > MAX_LATE_DATAGRAM_US) {
            superseded = false;
            announce(now, self.status, successorIncarnation + 1);
        }
    }

    /** Another member said something of this one: a younger process took its place, or it has to refute that. */
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
