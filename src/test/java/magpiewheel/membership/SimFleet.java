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
 * Memberships of a whole fleet on a clock of their own: one thread, one queue of events, and a network between them
 * that delays, loses, duplicates, reorders and partitions as its seed says. Equal seeds and equal calls give equal
 * runs.
 */
final class SimFleet {
    static final long MS = 1_000;
    static final long SECOND = 1_000_000;
    static final long BEAT = 50 * MS;
    /** us; Unix time at the run's start. */
    private static final long EPOCH = 1_800_000_000_000_000L;
    /** Datagrams that wait in the socket of a process that reads none. */
    private static final int SOCKET = 256;

    private static final int LARGEST = 256;

    /** The parameters of a run; fronts are assigned to zones in turn. */
    record Plan(long seed, int fronts, int zones, long beatUs, boolean refusals) {
        static Plan of(long seed, int fronts) {
            return new Plan(seed, fronts, 3, BEAT, true);
        }

        Plan withoutRefusals() {
            return new Plan(seed, fronts, zones, beatUs, false);
        }
    }

    private enum EventType {
        ARRIVE,
        PROBE,
        REFUSED,
        WAKE,
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
        /** Of a probe and its answer: when the process sent the probe, us. */
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

    /** A process of a front. Its machine's clock is off by a constant. */
    final class Process implements DatagramSender {
        final int front;
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
        private long wakeAt = Long.MAX_VALUE;

        Process(int front) {
            this.front = front;
            startedMs = clock() / 1_000;
            membership = new MembershipProtocol(
                    clock(),
                    new MembershipConfig(
                            front,
                            plan.fronts,
                            zone(front),
                            address(front),
                            sizes.clone(),
                            plan.beatUs,
                            startedMs,
                            plan.refusals),
                    this);
        }

        /** us; Unix time as this machine has it. */
        long clock() {
            return EPOCH + now + skew[front];
        }

        @Override
        public void send(int to, byte[] message) {
            if (message.length > LARGEST || message.length == 0 || to == front || to < 0 || to >= plan.fronts) {
                throw new AssertionError(message.length + " bytes from " + front + " to " + to);
            }
            messages++;
            bytes += message.length;
            actions.add(now).add((long) front).add((long) to).add(message);
            onMessage.accept(message);
            post(this, to, message);
        }

        @Override
        public void probe(int to, long probedAt) {
            if (!plan.refusals || to == front || to < 0 || to >= plan.fronts) {
                throw new AssertionError("probe from " + front + " to " + to);
            }
            probes++;
            actions.add(now).add((long) front).add((long) to).add(probedAt);
            onProbe.accept(this, to);
            int copies = chance(duplicated) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                if ((links.forgesRefusals(front, to) || !links.cut(front, to)) && !chance(loss)) {
                    push(now + halfProbeDelay(), EventType.PROBE, this, front, to, null, false, null).probedAt =
                            probedAt;
                }
            }
        }

        MemberStatus of(int other) {
            return membership.status(other);
        }

        double quota() {
            return 1 / membership.quotaDivisor(clock());
        }

        double zoneQuota() {
            return 1 / membership.quotaDivisorIn(clock(), zone(front));
        }

        @Override
        public String toString() {
            return "front " + front + " since " + startedAt / MS + " ms";
        }
    }

    final Plan plan;
    /** Of all messages and probes, with their times. */
    final Fingerprint actions = new Fingerprint();
    /**
     * Shares of datagrams that are lost, duplicated, reordered (up to 60 ms late) and delayed (up to
     * {@link #longestDelayUs}).
     */
    double loss;

    double duplicated;
    double reordered;
    double delayed;
    long longestDelayUs = 5 * SECOND;
    /** Sees each message that is sent. */
    Consumer<byte[]> onMessage = message -> {};
    /** Sees each probe: its sender and its target. */
    BiConsumer<Process, Integer> onProbe = (process, at) -> {};
    /** Called after everything that a process handled. */
    Consumer<Process> onEvent = process -> {};

    long now;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<List<Process>> processes = new ArrayList<>();
    private final int[] sizes;
    private final long[] skew;
    private final boolean[] vanished;
    private final SimulatedLinks links;
    private long pushed;
    private long trace = 17;

    SimFleet(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed);
        sizes = new int[plan.zones];
        skew = new long[plan.fronts];
        vanished = new boolean[plan.fronts];
        links = new SimulatedLinks(plan.fronts);
        for (int front = 0; front < plan.fronts; front++) {
            processes.add(new ArrayList<>(1));
            sizes[zone(front)]++;
            skew[front] = random.nextLong(-400 * MS, 400 * MS + 1);
        }
    }

    int zone(int front) {
        return front % plan.zones;
    }

    static int address(int front) {
        return 0x0a000000 + front;
    }

    /** The youngest running process of a front, or null. */
    Process of(int front) {
        List<Process> all = processes.get(front);
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }

    /** Youngest processes of fronts that run. */
    List<Process> running() {
        List<Process> all = new ArrayList<>();
        for (int front = 0; front < plan.fronts; front++) {
            if (of(front) != null) {
                all.add(of(front));
            }
        }
        return all;
    }

    /** Starts a process of a front, beside the one it may have; it starts serving after a delay. */
    Process start(int front, long readyUs) {
        vanished[front] = false;
        Process process = new Process(front);
        processes.get(front).add(process);
        handled(process);
        in(readyUs, () -> startServing(process));
        return process;
    }

    private void startServing(Process process) {
        if (process.running && process.paused) {
            in(10 * MS, () -> startServing(process));
        } else if (process.running) {
            process.serving = true;
            process.membership.startServing(process.clock());
            handled(process);
        }
    }

    /** Starts every front within the first half second. */
    SimFleet startAll() {
        for (int front = 0; front < plan.fronts; front++) {
            int number = front;
            in(random.nextLong(500 * MS), () -> start(number, 20 * MS + random.nextLong(100 * MS)));
        }
        run(620 * MS);
        return this;
    }

    /** Starts every front and waits until all views are the same and whole; how long that took, us. */
    long converge(long mostUs) {
        startAll();
        return until(mostUs, this::converged);
    }

    /** Runs until something holds, looking every 5 ms; how long that took, or -1. */
    long until(long mostUs, BooleanSupplier holds) {
        long from = now;
        while (!holds.getAsBoolean()) {
            if (now - from >= mostUs) {
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
                if (viewer != seen && viewer.of(seen.front) != MemberStatus.ALIVE) {
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

    /** Ends all processes of a front; its machine goes on and refuses probes. */
    void kill(int front) {
        for (Process process : processes.get(front)) {
            process.running = false;
            process.socket.clear();
        }
        processes.get(front).clear();
    }

    /** Ends one process. */
    void end(Process process) {
        process.running = false;
        process.socket.clear();
        processes.get(process.front).remove(process);
    }

    /** The whole machine fails: nothing refuses probes in its name. */
    void vanish(int front) {
        kill(front);
        vanished[front] = true;
    }

    /** The processes of a front handle nothing for a while; datagrams wait in their sockets. */
    void pause(int front, long us) {
        for (Process process : processes.get(front)) {
            process.paused = true;
            process.resumesAt = Math.max(process.resumesAt, now + us);
            push(process.resumesAt, EventType.RESUME, process, front, front, null, false, null);
        }
    }

    /** The links between the fronts, which scenarios cut and heal. */
    SimulatedLinks links() {
        return links;
    }

    void in(long us, Runnable action) {
        push(now + us, EventType.ACTION, null, 0, 0, null, false, action);
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

    /** Equal for equal runs. */
    long trace() {
        return trace;
    }

    /** What all running processes may use of a limit of one together; of two processes of a front the larger share. */
    double quotaSum() {
        return quotaSum(-1);
    }

    /** Likewise of a zone's limit; of the whole fleet's for -1. */
    double quotaSum(int zone) {
        double sum = 0;
        for (int front = 0; front < plan.fronts; front++) {
            if (zone >= 0 && zone != zone(front)) {
                continue;
            }
            double most = 0;
            for (Process process : processes.get(front)) {
                most = Math.max(most, zone < 0 ? process.quota() : process.zoneQuota());
            }
            sum += most;
        }
        return sum;
    }

    SplittableRandom random() {
        return random;
    }

    private boolean chance(double share) {
        return share > 0 && random.nextDouble() < share;
    }

    private long halfProbeDelay() {
        return random.nextLong(MS / 2, 15 * MS);
    }

    private Event push(
            long at, EventType type, Process process, int from, int to, byte[] message, boolean late, Runnable action) {
        Event event = new Event(at, pushed++, type, process, from, to, message, late, action);
        events.add(event);
        return event;
    }

    private void post(Process from, int to, byte[] message) {
        if (links.cut(from.front, to) || chance(loss)) {
            return;
        }
        int copies = chance(duplicated) ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean late = chance(delayed);
            long delay = random.nextLong(1_400, 23_001);
            if (late) {
                delay = random.nextLong(200 * MS, longestDelayUs);
            } else if (chance(reordered)) {
                delay += random.nextLong(37 * MS);
            }
            push(now + delay, EventType.ARRIVE, from, from.front, to, message, late, null);
        }
    }

    private void dispatch(Event event) {
        switch (event.type) {
            case ARRIVE -> {
                Process process = of(event.to);
                if (process != null && (event.delayed || !links.cut(event.from, event.to))) {
                    deliver(process, event);
                }
            }
            case PROBE -> {
                boolean answers = !vanished[event.to]
                        && of(event.to) == null
                        && !links.cut(event.from, event.to)
                        && !links.cut(event.to, event.from);
                if ((answers || links.forgesRefusals(event.from, event.to)) && !chance(loss)) {
                    push(
                                    now + halfProbeDelay(),
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
                if (links.forgesRefusals(event.to, event.from) || !links.cut(event.from, event.to)) {
                    deliver(event.process, event);
                }
            }
            case WAKE -> {
                Process process = event.process;
                if (process.running && !process.paused && process.wakeAt == event.at) {
                    process.wakeAt = Long.MAX_VALUE;
                    if (process.clock() >= process.membership.due()) {
                        process.membership.tick(process.clock());
                    }
                    handled(process);
                }
            }
            case RESUME -> resume(event.process);
            case ACTION -> event.action.run();
            default -> throw new IllegalStateException();
        }
    }

    private void deliver(Process process, Event event) {
        if (!process.running) {
            return;
        }
        if (process.paused) {
            if (process.socket.size() < SOCKET) {
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
        handled(process);
    }

    /** What waited is handled before or after what is due: either may come first. */
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
        process.wakeAt = Long.MAX_VALUE;
        handled(process);
    }

    private void handled(Process process) {
        long due = process.membership.due() - EPOCH - skew[process.front];
        long at = Math.max(due, now) + random.nextLong(50, 1_500);
        if (at < process.wakeAt) {
            process.wakeAt = at;
            push(at, EventType.WAKE, process, process.front, process.front, null, false, null);
        }
        onEvent.accept(process);
    }
}
