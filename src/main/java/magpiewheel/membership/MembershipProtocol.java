package magpiewheel.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * SWIM-style membership of the fleet: which members run, serve, are suspected, dead or have left, as far as this one
 * can know, and how complete its view is. {@code docs/design/fleet-as-one.md} has the rules and their reasons.
 *
 * <p>Performs no I/O. Callers pass the time, in microseconds of a monotonic clock close to Unix time, and call
 * {@link #tick} at the time that {@link #due} returns. Not thread-safe: one thread at a time may use it.
 */
public final class MembershipProtocol implements MembershipView {
    private static final long US_PER_MS = 1_000;
    /** Value of a zone for a limit that all members share. */
    private static final int ALL_ZONES = -1;

    private final MembershipConfig config;
    private final MemberTable members;
    private final HeartbeatMonitor monitor;
    private final RoundSchedule schedule;
    private final UpdateDissemination dissemination;
    private final ReachabilityProber prober;
    private final DeadMemberProber deadMemberProber;
    private final FailureDetector detector;
    private final PartitionDetector partition;
    private final Neighbours neighbours;
    private final LocalMember local;
    private final UpdateMerger merger;
    private final Messenger messenger;
    private final AntiEntropy antiEntropy;
    private final GossipRound round;
    private final QuotaDivision quotas;

    /** Creates a membership that knows only its configuration. */
    public MembershipProtocol(long now, MembershipConfig config, DatagramSender sender) {
        this.config = config;
        MembershipContext context = new MembershipContext(now, config, sender);
        members = context.members;
        monitor = context.monitor;
        schedule = context.schedule;
        dissemination = context.dissemination;
        prober = new ReachabilityProber(config, sender);
        deadMemberProber = new DeadMemberProber(context);
        detector = new FailureDetector(context, prober);
        partition = new PartitionDetector(context);
        neighbours = new Neighbours(context);
        local = new LocalMember(context);
        merger = new UpdateMerger(context, detector, prober, local);
        messenger = new Messenger(context, partition);
        antiEntropy = new AntiEntropy(context, partition, messenger);
        round = new GossipRound(context, neighbours, partition, messenger, antiEntropy);
        quotas = new QuotaDivision(config, members, FailureDetector.refutationUs(config));
    }

    /** Whether a message belongs to the membership protocol. */
    public static boolean isMembershipMessage(byte[] message) {
        return MembershipMessage.isMembershipMessage(message);
    }

    // ---------------------------------------------------------------- time

    /**
     * Returns when {@link #tick} is to be called next, {@code Long.MAX_VALUE} for never; every call of a method may
     * change it.
     */
    public long due() {
        return members.size() < 2 ? Long.MAX_VALUE : schedule.due();
    }

    /** Performs the checks and sends the messages that are due. */
    public void tick(long now) {
        if (members.size() < 2) {
            return;
        }
        if (schedule.wasPaused(now)) {
            monitor.resumed(now);
        }
        if (schedule.startCheck(now)) {
            check(now);
        }
        if (schedule.isRoundDue(now)) {
            sendRound(now);
        }
    }

    private void check(long now) {
        updateNeighbours(now);
        if (config.reachabilityProbes()) {
            prober.probeSilent(now, neighbours.list(), monitor.resumedAt());
        }
        boolean inContact = partition.hasTwoWayContact(now);
        detector.check(now, neighbours.list());
        partition.update(now, inContact, neighbours.list());
    }

    private void updateNeighbours(long now) {
        if (neighbours.update(now)) {
            partition.updateLostZones();
        }
    }

    private void sendRound(long now) {
        boolean heartbeat = schedule.startRound(now);
        updateNeighbours(now);
        if (local.isSuperseded()) {
            round.runSuperseded(now, heartbeat);
            return;
        }
        if (!round.run(now, heartbeat)) {
            return;
        }
        if (heartbeat) {
            deadMemberProber.probe(now);
        }
        if (dissemination.overflowed()) {
            schedule.flushRemaining(now);
        }
    }

    // ---------------------------------------------------------------- messages and probes

    /** Handles a message that came from the address of a member; ignores invalid ones. */
    public void messageReceived(long now, int sender, byte[] bytes) {
        if (!members.contains(sender) || sender == config.memberId()) {
            return;
        }
        MembershipMessage message = MembershipMessage.decode(sender, bytes);
        if (message == null) {
            return;
        }
        Member from = members.get(sender);
        local.datagramReceived(now);
        boolean newer = recordHeartbeat(now, from, message);
        merger.merge(now, message.sender());
        message.updates().forEach(update -> merger.merge(now, update));
        if (message.kind() == MembershipMessage.Kind.BUCKET_DIGESTS) {
            // Answered even if a newer message arrived first, since the request is sent only once.
            antiEntropy.repair(now, from, message.bucketDigests());
        }
        if (newer) {
            respond(now, from, message);
        } else if (message.sender().incarnation() < from.incarnation && !from.isInRing()) {
            // The younger of two processes has ended: the older one may act as the member again.
            messenger.requestRefutation(now, from);
        }
    }

    /** Records the message as a heartbeat. Returns whether it is newer than all earlier ones. */
    private boolean recordHeartbeat(long now, Member from, MembershipMessage message) {
        boolean wasOutOfContact = partition.isIsolated() && !partition.hasTwoWayContact(now);
        if (!from.heartbeatReceived(now, message.sender().incarnation(), message.sentAtUs())) {
            return false;
        }
        from.heartbeatUs = message.heartbeatMs() * US_PER_MS;
        from.resetProbes();
        monitor.heartbeatReceived();
        if (partition.recordHearer(from, message.hearsReceiver()) && wasOutOfContact) {
            members.forgetOthers();
        }
        if (monitor.isHeard(now, from)) {
            detector.heartbeatReceived(now, from);
        }
        return true;
    }

    private void respond(long now, Member from, MembershipMessage message) {
        if (message.wantsReply() && !neighbours.contains(from)) {
            round.reply(now, from);
        }
        if (from.status == MemberStatus.SUSPECT || from.status == MemberStatus.DEAD) {
            messenger.requestRefutation(now, from);
        }
        antiEntropy.compare(now, from, message.digest());
    }

    /** Handles the refusal, by the host of a member, of a probe that was sent at {@code probedAt}. */
    public void probeRefused(long now, int memberId, long probedAt) {
        if (!members.contains(memberId)
                || memberId == config.memberId()
                || now - probedAt > DatagramSender.PROBE_REPLY_TIMEOUT_US) {
            return;
        }
        Member member = members.get(memberId);
        if (!member.isInRing()) {
            deadMemberProber.probeRefused(now, member, probedAt);
        } else if (prober.isRefusalProof(now, member, probedAt)) {
            members.recordLoss(now);
            members.markChanged();
            if (member.probesRefused >= ReachabilityProber.REQUIRED_REFUSALS) {
                detector.probesRefused(now, member, probedAt / US_PER_MS);
            }
            updateNeighbours(now);
            prober.probeSilent(now, neighbours.list(), monitor.resumedAt());
        }
    }

    // ---------------------------------------------------------------- the local member

    /** Announces that this member serves. */
    public void startServing(long now) {
        local.startServing(now);
    }

    /** Announces that this member drains, or that it no longer does. */
    public void setDraining(long now, boolean draining) {
        local.setDraining(now, draining);
    }

    // ---------------------------------------------------------------- the view

    @Override
    public MemberStatus status(int memberId) {
        return members.get(memberId).status;
    }

    /** Returns the known incarnation of a member; 0 for none. */
    long incarnation(int memberId) {
        return members.get(memberId).incarnation;
    }

    @Override
    public PartitionVerdict verdict() {
        return partition.verdict();
    }

    @Override
    public int zone(int memberId) {
        int zone = members.get(memberId).zone;
        return zone == MemberUpdate.UNKNOWN_ZONE ? -1 : zone;
    }

    @Override
    public List<Integer> runningMembers() {
        List<Integer> running = new ArrayList<>();
        for (Member member : members.all()) {
            if (member != members.self() && member.isRunning()) {
                running.add(member.id);
            }
        }
        return running;
    }

    @Override
    public List<Integer> runningMembersIn(int zone) {
        return runningMembers().stream()
                .filter(id -> members.get(id).zone == zone)
                .toList();
    }

    @Override
    public List<Integer> servingAddresses(int zone) {
        List<Integer> serving = new ArrayList<>();
        for (Member member : members.all()) {
            if (member.isRunning() && member.status != MemberStatus.JOINING && member.zone == zone) {
                serving.add(member.address);
            }
        }
        return serving;
    }

    @Override
    public double quotaDivisor(long now) {
        return quotas.divisor(now, monitor.uptimeUs(now), ALL_ZONES);
    }

    @Override
    public double quotaDivisorIn(long now, int zone) {
        return quotas.divisor(now, monitor.uptimeUs(now), zone);
    }

    @Override
    public int digest() {
        return members.digest();
    }
}
