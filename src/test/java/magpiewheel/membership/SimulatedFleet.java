package magpiewheel.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import magpiewheel.support.Fingerprint;

/**
 * The memberships of a whole fleet on a simulated clock: one thread, one event queue, and a network that delays, loses,
 * duplicates, reorders and partitions datagrams depending on a seed. Equal seeds and equal calls give equal runs.
 */
final class SimulatedFleet {
    static final long MS = 1_000;
    static final long SECOND = 1_000_000;
    static final long HEARTBEAT_US = 50 * MS;
    /** Unix time at the start of the run. */
    private static final long EPOCH_US = 1_800_000_000_000_000L;
    /** Maximum number of datagrams queued in the socket of a paused process. */
    private static final int SOCKET_CAPACITY = 256;

    private static final int MAX_DATAGRAM_BYTES = 256;

    /** Parameters of a run. Members are assigned to zones in turn. */
    record Plan(long seed, int memberCount, int zoneCount, long heartbeatUs, boolean refusals) {
        static Plan of(long seed, int memberCount) {
            return new Plan(seed, memberCount, 3, HEARTBEAT_US, true);
        }

        Plan withoutRefusals() {
            return new Plan(seed, memberCount, zoneCount, heartbeatUs, false);
        }
    }

    private enum EventType {
        ARRIVE,
        PROBE,
        REFUSED,
        TICK,
        RESUME,
        ACTION
    }

    private static final class Event implements Comparable<Event> {
        final long at;
        final long order;
        final EventType type;
        final Process process;
        final int from;
        final int to;
        final byte[] message;
        final boolean delayed;
        final Runnable action;
        /** When the probe was sent, for a probe and its refusal. */
        long probedAt;

        Event(
                long at,
                long order,
                EventType type,
                Process process,
                int from,
                int to,
                byte[] message,
                boolean delayed,
                Runnable action) {
            this.at = at;
            this.order = order;
            this.type = type;
            this.process = process;
            this.from = from;
            this.to = to;
            this.message = message;
            this.delayed = delayed;
            this.action = action;
        }

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A process of a member. The clock of its machine has a constant offset. */
    final class Process implements DatagramSender {
        final int memberId;
        final long startedAt = now;
        final long startedMs;
        final MembershipProtocol membership;
        boolean running = true;
        boolean paused;
        boolean serving;
        long messages;
        long bytes;
        long received;
        long probes;
        private final ArrayDeque<Event> socket = new ArrayDeque<>();
        private long resumesAt;
        private long nextTickAt = Long.MAX_VALUE;

        Process(int memberId) {
            this.memberId = memberId;
            startedMs = clock() / 1_000;
            membership = new MembershipProtocol(
                    clock(),
                    new MembershipConfig(
                            memberId,
                            plan.memberCount,
                            zone(memberId),
                            address(memberId),
                            membersByZone.clone(),
                            plan.heartbeatUs,
                            startedMs,
                            plan.refusals),
                    this);
        }

        /** Returns the Unix time of this machine, in microseconds. */
        long clock() {
            return EPOCH_US + now + clockSkewUs[memberId];
        }

        @Override
        public void send(int to, byte[] message) {
            if (message.length > MAX_DATAGRAM_BYTES
                    || message.length == 0
                    || to == memberId
                    || to < 0
                    || to >= plan.memberCount) {
                throw new AssertionError(
                        "invalid datagram of " + message.length + " bytes from member " + memberId + " to " + to);
            }
            messages++;
            bytes += message.length;
            actions.add(now).add((long) memberId).add((long) to).add(message);
            onMessage.accept(message);
            transmit(this, to, message);
        }

        @Override
        public void probe(int to, long probedAt) {
            if (!plan.refusals || to == memberId || to < 0 || to >= plan.memberCount) {
                throw new AssertionError("invalid probe from member " + memberId + " to " + to);
            }
            probes++;
            actions.add(now).add((long) memberId).add((long) to).add(probedAt);
            onProbe.accept(this, to);
            int copies = chance(duplicateRate) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                if ((links.forgesRefusals(memberId, to) || !links.isCut(memberId, to)) && !chance(lossRate)) {
                    enqueue(now + oneWayProbeDelayUs(), EventType.PROBE, this, memberId, to, null, false, null)
                            .probedAt = probedAt;
                }
            }
        }

        MemberStatus statusOf(int other) {
            return membership.status(other);
        }

        double quota() {
            return 1 / membership.quotaDivisor(clock());
        }

        double zoneQuota() {
            return 1 / membership.quotaDivisorIn(clock(), zone(memberId));
        }

        @Override
        public String toString() {
            return "member " + memberId + " started at " + startedAt / MS + " ms";
        }
    }

    final Plan plan;
    /** Fingerprint of all messages and probes, with their times. */
    final Fingerprint actions = new Fingerprint();
    /**
     * Fractions of datagrams that are lost, duplicated, reordered (up to 60 ms late) and delayed (up to
     * {@link #maxDelayUs}).
     */
    double lossRate;

    double duplicateRate;
    double reorderRate;
    double delayRate;
    long maxDelayUs = 5 * SECOND;
    /** Receives each message that is sent. */
    Consumer<byte[]> onMessage = message -> {};
    /** Receives the sender and the target of each probe. */
    BiConsumer<Process, Integer> onProbe = (process, at) -> {};
    /** Receives a process after each event that it handled. */
    Consumer<Process> onEvent = process -> {};

    long now;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<List<Process>> processes = new ArrayList<>();
    private final int[] membersByZone;
    private final long[] clockSkewUs;
    private final boolean[] machineFailed;
    private final SimulatedLinks links;
    private long eventCount;
    private long trace = 17;

    SimulatedFleet(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed);
        membersByZone = new int[plan.zoneCount];
        clockSkewUs = new long[plan.memberCount];
        machineFailed = new boolean[plan.memberCount];
        links = new SimulatedLinks(plan.memberCount);
        for (int member = 0; member < plan.memberCount; member++) {
            processes.add(new ArrayList<>(1));
            membersByZone[zone(member)]++;
            clockSkewUs[member] = random.nextLong(-400 * MS, 400 * MS + 1);
        }
    }

    int zone(int member) {
        return member % plan.zoneCount;
    }

    static int address(int member) {
        return 0x0a000000 + member;
    }

    /** Returns the youngest running process of a member, or null. */
    Process processOf(int member) {
        List<Process> all = processes.get(member);
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }

    /** Returns the youngest process of each running member. */
    List<Process> running() {
        List<Process> all = new ArrayList<>();
        for (int member = 0; member < plan.memberCount; member++) {
            if (processOf(member) != null) {
                all.add(processOf(member));
            }
        }
        return all;
    }

    /** Starts a process of a member, in addition to any that runs; it starts to serve after a delay. */
    Process start(int member, long servingDelayUs) {
        machineFailed[member] = false;
        Process process = new Process(member);
        processes.get(member).add(process);
        afterEvent(process);
        schedule(servingDelayUs, () -> startServing(process));
        return process;
    }

    private void startServing(Process process) {
        if (process.running && process.paused) {
            schedule(10 * MS, () -> startServing(process));
        } else if (process.running) {
            process.serving = true;
            process.membership.startServing(process.clock());
            afterEvent(process);
        }
    }

    /** Starts all members within half a second. */
    SimulatedFleet startAll() {
        for (int member = 0; member < plan.memberCount; member++) {
            int memberToStart = member;
            schedule(random.nextLong(500 * MS), () -> start(memberToStart, 20 * MS + random.nextLong(100 * MS)));
        }
        run(620 * MS);
        return this;
    }

    /**
     * Starts all members and runs until all views are equal and complete. Returns the time after the start, in
     * microseconds, or -1.
     */
    long converge(long timeoutUs) {
        startAll();
        return runUntil(timeoutUs, this::converged);
    }

    /**
     * Runs until a condition holds, which is checked every 5 ms. Returns the elapsed time in microseconds, or -1 after
     * the timeout.
     */
    long runUntil(long timeoutUs, BooleanSupplier condition) {
        long from = now;
        while (!condition.getAsBoolean()) {
            if (now - from >= timeoutUs) {
                return -1;
            }
            run(5 * MS);
        }
        return now - from;
    }

    boolean converged() {
        if (!digestsEqual()) {
            return false;
        }
        List<Process> running = running();
        for (Process seen : running) {
            for (Process viewer : List.of(running.get(0), running.get(running.size() / 2))) {
                if (viewer != seen && viewer.statusOf(seen.memberId) != MemberStatus.ALIVE) {
                    return false;
                }
            }
        }
        return true;
    }

    boolean digestsEqual() {
        List<Process> running = running();
        int first = running.get(0).membership.digest();
        return running.stream().allMatch(process -> process.membership.digest() == first);
    }

    /** Ends all processes of a member; its machine keeps running and refuses probes. */
    void kill(int member) {
        for (Process process : processes.get(member)) {
            process.running = false;
            process.socket.clear();
        }
        processes.get(member).clear();
    }

    /** Ends one process. */
    void endProcess(Process process) {
        process.running = false;
        process.socket.clear();
        processes.get(process.memberId).remove(process);
    }

    /** Fails the machine of a member: its processes end, and probes are not refused. */
    void failMachine(int member) {
        kill(member);
        machineFailed[member] = true;
    }

    /** Pauses the processes of a member; datagrams queue up in their sockets. */
    void pause(int member, long us) {
        for (Process process : processes.get(member)) {
            process.paused = true;
            process.resumesAt = Math.max(process.resumesAt, now + us);
            enqueue(process.resumesAt, EventType.RESUME, process, member, member, null, false, null);
        }
    }

    /** Returns the links between the members, which scenarios cut and heal. */
    SimulatedLinks links() {
        return links;
    }

    void schedule(long us, Runnable action) {
        enqueue(now + us, EventType.ACTION, null, 0, 0, null, false, action);
    }

    void run(long us) {
        long end = now + us;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            trace = trace * 31 + event.at + event.type.ordinal();
            dispatch(event);
        }
        now = end;
    }

    /** Returns a hash of the handled events, which is equal for equal runs. */
    long trace() {
        return trace;
    }

    /**
     * Returns the sum of what all running processes may use of a limit of 1; of several processes of a member, the
     * largest share counts.
     */
    double quotaSum() {
        return quotaSum(-1);
    }

    /** Returns the same sum for a zone's limit, or for the limit of the whole fleet if {@code zone} is -1. */
    double quotaSum(int zone) {
        double sum = 0;
        for (int member = 0; member < plan.memberCount; member++) {
            if (zone >= 0 && zone != zone(member)) {
                continue;
            }
            double largestShare = 0;
            for (Process process : processes.get(member)) {
                largestShare = Math.max(largestShare, zone < 0 ? process.quota() : process.zoneQuota());
            }
            sum += largestShare;
        }
        return sum;
    }

    SplittableRandom random() {
        return random;
    }

    private boolean chance(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    private long oneWayProbeDelayUs() {
        return random.nextLong(MS / 2, 15 * MS);
    }

    private Event enqueue(
            long at,
            EventType type,
            Process process,
            int from,
            int to,
            byte[] message,
            boolean delayed,
            Runnable action) {
        Event event = new Event(at, eventCount++, type, process, from, to, message, delayed, action);
        events.add(event);
        return event;
    }

    private void transmit(Process from, int to, byte[] message) {
        if (links.isCut(from.memberId, to) || chance(lossRate)) {
            return;
        }
        int copies = chance(duplicateRate) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean late = chance(delayRate);
            long delay = random.nextLong(1_400, 23_001);
            if (late) {
                delay = random.nextLong(200 * MS, maxDelayUs);
            } else if (chance(reorderRate)) {
                delay += random.nextLong(37 * MS);
            }
            enqueue(now + delay, EventType.ARRIVE, from, from.memberId, to, message, late, null);
        }
    }

    private void dispatch(Event event) {
        switch (event.type) {
            case ARRIVE -> {
                Process process = processOf(event.to);
                if (process != null && (event.delayed || !links.isCut(event.from, event.to))) {
                    deliver(process, event);
                }
            }
            case PROBE -> {
                boolean answers = !machineFailed[event.to]
                        && processOf(event.to) == null
                        && !links.isCut(event.from, event.to)
                        && !links.isCut(event.to, event.from);
                if ((answers || links.forgesRefusals(event.from, event.to)) && !chance(lossRate)) {
                    enqueue(
                                    now + oneWayProbeDelayUs(),
                                    EventType.REFUSED,
                                    event.process,
                                    event.to,
                                    event.from,
                                    null,
                                    false,
                                    null)
                            .probedAt = event.probedAt;
                }
            }
            case REFUSED -> {
                if (links.forgesRefusals(event.to, event.from) || !links.isCut(event.from, event.to)) {
                    deliver(event.process, event);
                }
            }
            case TICK -> {
                Process process = event.process;
                if (process.running && !process.paused && process.nextTickAt == event.at) {
                    process.nextTickAt = Long.MAX_VALUE;
                    if (process.clock() >= process.membership.due()) {
                        process.membership.tick(process.clock());
                    }
                    afterEvent(process);
                }
            }
            case RESUME -> resume(event.process);
            case ACTION -> event.action.run();
            default -> throw new IllegalStateException("unexpected event " + event.type);
        }
    }

    private void deliver(Process process, Event event) {
        if (!process.running) {
            return;
        }
        if (process.paused) {
            if (process.socket.size() < SOCKET_CAPACITY) {
                process.socket.add(event);
            }
            return;
        }
        if (event.type == EventType.REFUSED) {
            process.membership.probeRefused(process.clock(), event.from, event.probedAt);
        } else {
            process.received++;
            process.membership.messageReceived(process.clock(), event.from, event.message);
        }
        afterEvent(process);
    }

    /**
     * Resumes a paused process. Queued datagrams are handled at random before or after the tick, as either may come
     * first.
     */
    private void resume(Process process) {
        if (!process.running || !process.paused || process.resumesAt > now) {
            return;
        }
        process.paused = false;
        boolean first = random.nextBoolean();
        if (first) {
            process.membership.tick(process.clock());
            onEvent.accept(process);
        }
        while (!process.socket.isEmpty()) {
            deliver(process, process.socket.poll());
        }
        if (!first) {
            process.membership.tick(process.clock());
        }
        process.nextTickAt = Long.MAX_VALUE;
        afterEvent(process);
    }

    private void afterEvent(Process process) {
        long due = process.membership.due() - EPOCH_US - clockSkewUs[process.memberId];
        long at = Math.max(due, now) + random.nextLong(50, 1_500);
        if (at < process.nextTickAt) {
            process.nextTickAt = at;
            enqueue(at, EventType.TICK, process, process.memberId, process.memberId, null, false, null);
        }
        onEvent.accept(process);
    }
}
