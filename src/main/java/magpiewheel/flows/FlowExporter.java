package magpiewheel.flows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.ipfix.MessageWriter;
import magpiewheel.pressure.Aggregates;
import magpiewheel.pressure.CollectorChoice;
import magpiewheel.pressure.Crowding;
import magpiewheel.pressure.DrainBudget;
import magpiewheel.pressure.Level;
import magpiewheel.pressure.LevelControl;
import magpiewheel.pressure.TemplateClock;
import magpiewheel.records.FlowRecord;
import magpiewheel.records.FlowRing;

/**
 * Takes flows from the ring and sends them to a collector as IPFIX (RFC 7011). It has a thread of its own, which may
 * wait for a collector; nobody waits for it. What to keep, whom to send to and how fast is decided in {@code pressure},
 * which knows no socket and no clock.
 */
public final class FlowExporter {
    /** A collector, and whether it is spoken to over TCP. */
    public record Target(boolean tcp, InetSocketAddress address) {}

    /** What it needs to know; times in ms. */
    public record Settings(
            List<Target> collectors,
            int domain,
            long templateMs,
            long enterprise,
            int mtu,
            int store,
            int drainPerS,
            long intervalMs,
            List<String> classes,
            List<String> branches,
            int branch,
            double linkOctetsPerS,
            long seed) {}

    /** ms; between two looks at the ring. Short enough that a ring of thousands holds what comes meanwhile. */
    private static final long TURN_MS = 50;

    private static final long FIRST_WAIT_MS = 250;
    private static final long LONGEST_WAIT_MS = 30_000;
    /**
     * ms; so long must a collector hold before it counts as sound, and a low store before more is kept of each flow.
     */
    private static final long HOLD_MS = 3_000;

    private static final long DWELL_MS = 5_000;
    /** ms; a collector that takes nothing for so long is left. */
    private static final long STUCK_MS = 4_000;

    private static final long CROWDED_MS = 1_000;
    private static final long LOSSES_MS = 10_000;
    private static final int MOST_SUMS = 1_024;
    private static final int CROWDED_TOP = 5;

    /** One collector as it is spoken to now. */
    private final class Peer {
        private final int number;
        private final Target target;
        private final TemplateClock templates;
        private Session session;
        private MessageWriter writer;
        private Layouts layouts;
        private long lossesAt;

        Peer(int number, Target target) {
            this.number = number;
            this.target = target;
            this.templates = new TemplateClock(target.tcp() ? 0 : set.templateMs());
        }

        void open(long now) {
            try {
                session = Session.open(target.tcp(), target.address());
                templates.lost();
                lossesAt = Long.MIN_VALUE;
                // A stream begins its numbers anew; datagrams go on, so that a collector sees what it missed.
                if (writer == null || target.tcp()) {
                    writer = new MessageWriter(set.mtu(), set.domain(), set.enterprise());
                    layouts = new Layouts(writer, set.classes(), set.branches(), set.domain(), set.enterprise());
                }
                counters.add(Counter.FLOW_SESSIONS);
                choice.reached(now, number);
            } catch (IOException e) {
                choice.failed(now, number);
            }
        }

        void close() {
            if (session != null) {
                session.close();
                session = null;
            }
        }

        void lost(long now) {
            if (session != null) {
                close();
                counters.add(Counter.FLOW_SESSIONS_LOST);
            }
            choice.failed(now, number);
        }

        /** Sends up to so many records from the store; those of a message that could not be given away are kept. */
        int send(long now, int most) {
            int sent = 0;
            List<FlowRecord> inHand = new ArrayList<>();
            try {
                while (true) {
                    boolean withTemplates = templates.due(now);
                    if (withTemplates && !layouts.templates()) {
                        throw new IllegalStateException("the templates fill more than a message of " + set.mtu());
                    }
                    boolean withLosses = lossesAt == Long.MIN_VALUE || now - lossesAt >= LOSSES_MS;
                    if (withLosses) {
                        layouts.losses(exported, notSent, notSentOctets);
                    }
                    while (sent + inHand.size() < most && !store.isEmpty() && layouts.flow(store.peekFirst())) {
                        inHand.add(store.pollFirst());
                    }
                    if (inHand.isEmpty() && !withTemplates && !withLosses) {
                        return sent;
                    }
                    give();
                    if (withTemplates) {
                        templates.sent(now);
                    }
                    lossesAt = withLosses ? now : lossesAt;
                    for (FlowRecord record : inHand) {
                        exported += record.flows();
                        counters.add(Counter.FLOWS, record.flows());
                    }
                    sent += inHand.size();
                    inHand.clear();
                }
            } catch (IOException e) {
                for (int i = inHand.size() - 1; i >= 0; i--) {
                    store.addFirst(inHand.get(i));
                }
                lost(now);
                return sent;
            }
        }

        private void give() throws IOException {
            sendingSince = System.nanoTime() | 1;
            sending = session;
            try {
                session.send(writer.close(System.currentTimeMillis() / 1_000));
            } catch (IOException e) {
                writer.takeBack();
                throw e;
            } finally {
                sendingSince = 0;
            }
        }

        void crowded(long fromMs, long toMs) throws IOException {
            crowding.top(CROWDED_TOP)
                    .forEach(hitter -> layouts.crowded(fromMs, toMs, crowding.share(), hitter, set.branch()));
            give();
        }
    }

    private final Settings set;
    private final FlowRing ring;
    private final Counters counters;
    private final CollectorChoice choice;
    private final LevelControl control = new LevelControl(DWELL_MS);
    private final DrainBudget budget;
    private final Aggregates sums;
    private final Crowding crowding;
    private final ArrayDeque<FlowRecord> store = new ArrayDeque<>();
    private final List<Peer> peers = new ArrayList<>();
    private long exported;
    private long notSent;
    private long notSentOctets;
    private long ringLostSeen;
    private long ringOctetsSeen;
    private Level last = Level.EACH;
    private volatile Session sending;
    private volatile long sendingSince;
    private volatile boolean stopping;
    /** A request to send everything at the next turn; null if there is none. */
    private final AtomicReference<CountDownLatch> flush = new AtomicReference<>();

    private final Thread thread = Actor.daemonThread("flows", this::run);

    /** Exports what comes into the ring. */
    public FlowExporter(Settings set, FlowRing ring, Counters counters) {
        this.set = set;
        this.ring = ring;
        this.counters = counters;
        choice = new CollectorChoice(set.collectors().size(), FIRST_WAIT_MS, LONGEST_WAIT_MS, HOLD_MS, set.seed());
        budget = new DrainBudget(set.drainPerS());
        sums = new Aggregates(MOST_SUMS, set.intervalMs());
        crowding = new Crowding(CROWDED_MS, set.linkOctetsPerS());
        for (int i = 0; i < set.collectors().size(); i++) {
            peers.add(new Peer(i, set.collectors().get(i)));
        }
    }

    /** Begins. */
    public void start() {
        thread.start();
        Actor.daemonThread("flows-watch", this::watch).start();
    }

    /** Sends what is left, as far as a moment (ms) allows, and goes on. */
    public void flush(long mostMs) throws InterruptedException {
        CountDownLatch flushed = new CountDownLatch(1);
        flush.set(flushed);
        flushed.await(mostMs, TimeUnit.MILLISECONDS);
    }

    /** Sends what is left, as far as a moment allows, and ends. */
    public void end(long mostMs) {
        stopping = true;
        try {
            thread.join(mostMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            while (!stopping) {
                CountDownLatch requested = flush.getAndSet(null);
                turn(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), requested != null);
                if (requested != null) {
                    requested.countDown();
                }
                Thread.sleep(TURN_MS);
            }
            turn(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            counters.add(Counter.FAULTS);
            System.err.println("flows: " + e + " at " + e.getStackTrace()[0]);
        } finally {
            peers.forEach(Peer::close);
        }
    }

    /** A collector that is connected and takes nothing would hold the exporter for good. */
    private void watch() {
        try {
            while (!stopping) {
                Thread.sleep(STUCK_MS / 8);
                long since = sendingSince;
                Session stuck = sending;
                if (since != 0
                        && stuck != null
                        && System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(STUCK_MS)) {
                    stuck.close();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One look at everything. */
    private void turn(long now, boolean all) {
        int cameIn = takeIn(now);
        for (FlowRecord sum : sums.due(now, all)) {
            keep(sum);
        }
        judge(now);
        for (Peer peer : peers) {
            if (peer.session != null && peer.session.ended()) {
                peer.lost(now);
            }
        }
        CollectorChoice.Turn turn = choice.turn(now);
        if (turn.attempt() >= 0) {
            peers.get(turn.attempt()).open(now);
            turn = choice.turn(now);
        }
        if (turn.use() >= 0) {
            int allowed = all ? Integer.MAX_VALUE : budget.allowed(now, cameIn);
            budget.spent(peers.get(turn.use()).send(now, allowed), cameIn);
            crowded(now, turn.use());
        } else {
            crowding.at(now);
        }
    }

    private int takeIn(long now) {
        int cameIn = 0;
        Level level = control.level();
        for (FlowRecord flow = ring.poll(); flow != null; flow = ring.poll()) {
            cameIn++;
            if (flow.kind() == FlowRecord.Kind.FILL) {
                crowding.filled(flow.object(), flow.linkOctets());
            }
            if (level == Level.COUNT || level == Level.AGGREGATE && !sums.add(now, flow)) {
                lose(1, flow.octets());
            } else if (level == Level.EACH) {
                keep(flow);
            }
        }
        lose(ring.lost() - ringLostSeen, ring.lostOctets() - ringOctetsSeen);
        ringLostSeen = ring.lost();
        ringOctetsSeen = ring.lostOctets();
        return cameIn;
    }

    private void keep(FlowRecord flow) {
        if (store.size() < set.store()) {
            store.addLast(flow);
        } else {
            lose(flow.flows(), flow.octets());
        }
    }

    private void lose(long flows, long octets) {
        if (flows > 0) {
            notSent += flows;
            notSentOctets += octets;
            counters.add(Counter.FLOWS_DROPPED, flows);
        }
    }

    private void judge(long now) {
        Level level = control.at(now, Math.max(ring.filled(), (double) store.size() / set.store()));
        if (level != last) {
            counters.add(Counter.FLOW_LEVELS);
            System.err.println("magpiewheel: flow export now at level " + level + " (was " + last + "), " + store.size()
                    + " of " + set.store() + " records wait, " + notSent + " flows not sent so far");
            last = level;
        }
    }

    private void crowded(long now, int collector) {
        Crowding.Change change = crowding.at(now);
        if (change == Crowding.Change.SAME) {
            return;
        }
        if (change == Crowding.Change.ENTERED || change == Crowding.Change.LEFT) {
            counters.add(Counter.LINK_CROWDED);
            System.err.println("magpiewheel: link of " + set.branches().get(set.branch())
                    + (crowding.crowded() ? " crowded" : " free again")
                    + String.format(", at %.2f of this front's share", crowding.share()));
        }
        Peer peer = peers.get(collector);
        if (crowding.crowded() && peer.session != null) {
            try {
                long wall = System.currentTimeMillis();
                peer.crowded(wall - CROWDED_MS, wall);
            } catch (IOException e) {
                peer.lost(now);
            }
        }
    }
}
