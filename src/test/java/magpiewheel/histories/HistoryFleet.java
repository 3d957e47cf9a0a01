package magpiewheel.histories;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import magpiewheel.engine.OffsetMain;
import magpiewheel.fabric.Fabric;
import magpiewheel.fabric.Rig;
import magpiewheel.fabric.Spot;
import magpiewheel.wire.Client;
import magpiewheel.wire.Fleet;
import magpiewheel.wire.StandInNode;

/**
 * Fronts whose clocks are off, on the fabric, with caches, parents and an origin that know versions. It serves one
 * history a time.
 */
final class HistoryFleet implements AutoCloseable, Session.Fronts {
    static final int CACHES = 3;
    private static final int PARENTS = 2;
    /** ms; what ways to nodes and back take besides, in turns. */
    private static final long[][] AWAY_MS = {{0, 0}, {0, 60}, {60, 0}};

    private static final int TURN = 20;
    private static final long WARM_OBJECTS = 0x7000_0000L;
    private static final int WARM_TRIES = 2_000;
    private static final long WARM_PAUSE_MS = 20;
    private static final int PATIENCE_MS = 1_500;
    private static final int MOST_OFF_MS = 400;
    private static final int PURGE_DROPS_MS = 6_000;
    private static final String PINS = ",\"pins\":{\"enabled\":true}";
    private static final String OWN_COPIES = "\"flow_bytes_per_s\":5000000,\"link_bytes_per_s\":90000000,";
    private static final List<Spot> SPOTS = Stream.of(
                    new Spot(1, 1, Spot.BOX),
                    new Spot(2, 1, Spot.BOX),
                    new Spot(3, 1, Spot.BOX),
                    new Spot(0xe0000005, 0, Spot.UPPER),
                    new Spot(0xe0000006, 0, Spot.UPPER),
                    new Spot(0xf0000009, 0, Spot.STORE))
            .toList();

    private final int size;
    private final Random clocks;
    private final AtomicLongArray offMs;
    private final Fabric fabric;
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(4);
    private List<Keeper> keepers = List.of();
    private Origin origin;
    private Ledger ledger;
    private long[] objects;
    private boolean parents = true;

    /** Starts so many fronts; with pins or without. */
    HistoryFleet(long seed, int size, boolean pins) throws Exception {
        this.size = size;
        clocks = new Random(seed);
        offMs = new AtomicLongArray(size);
        for (int i = 0; i < size; i++) {
            offMs.set(i, off());
        }
        fabric = new Fabric(
                seed,
                new Rig(
                        Fleet.Sites.joining(size),
                        SPOTS,
                        pins ? PINS : "",
                        OWN_COPIES,
                        OffsetMain.class.getName(),
                        front -> Map.of(OffsetMain.OFFSET_MS_VARIABLE, Long.toString(offMs.get(front)))));
        fabric.start();
        warm();
    }

    /**
     * Each front is asked without a hint, without parents, until it serves a strict read: no history is about what it
     * knew before.
     */
    private void warm() throws Exception {
        origin = new Origin();
        ledger = new Ledger();
        standIns(0);
        parents(false);
        for (int front = 0; front < size; front++) {
            try (Client client = new Client(at(front))) {
                String word = "";
                for (int tag = 1; !word.equals("OK") && tag < WARM_TRIES; tag += 2) {
                    String object = String.format("%016x", WARM_OBJECTS + front * WARM_TRIES + tag);
                    client.ask(tag, "static", object, PATIENCE_MS, "");
                    client.answer();
                    client.ask(tag + 1, "static", object, PATIENCE_MS, ",hint=at_most:10000+strict");
                    word = client.answer().word();
                    Thread.sleep(WARM_PAUSE_MS);
                }
                if (!word.equals("OK")) {
                    throw new AssertionError("front " + front + " never served a strict read");
                }
            }
        }
    }

    private synchronized long off() {
        return clocks.nextInt(2 * MOST_OFF_MS + 1) - MOST_OFF_MS;
    }

    Fabric fabric() {
        return fabric;
    }

    @Override
    public List<Integer> living() {
        return List.copyOf(fabric.living());
    }

    @Override
    public InetSocketAddress at(int front) {
        return fabric.front(front).address;
    }

    // ---------------------------------------------------------------- a history

    /** Plays a history and gives back what there was to see. The fleet is sound before it and after. */
    History play(long seed, Faults.Kind kind) throws Exception {
        return play(
                new Faults(seed, kind, size, Session.SHARED + size), seed, kind, Session.Hints.ALL, Integer.MAX_VALUE);
    }

    /** The same traffic whatever the hints, without faults: so many deeds a session, however long they take. */
    History calm(long seed, Session.Hints hints, int deeds) throws Exception {
        return play(
                new Faults(seed, Faults.Kind.CALM, size, Session.SHARED + size), seed, Faults.Kind.CALM, hints, deeds);
    }

    private History play(Faults faults, long seed, Faults.Kind kind, Session.Hints hints, int deeds) throws Exception {
        heal();
        fabric.forget();
        origin = new Origin();
        ledger = new Ledger();
        objects = LongStream.range(0, Session.SHARED + size)
                .map(i -> (seed & 0xffff) << 16 | i + 1)
                .toArray();
        standIns(seed);
        // In half of the histories there are no parents, so that fills come from the origin itself.
        parents(seed / (TURN / 2) % 2 == 0);
        fabric.did(faults + "; clocks off by " + offMs);
        long endNs = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(deeds == Integer.MAX_VALUE ? faults.lastsMs() : Fleet.WAIT_MS * 10);
        List<Session> sessions = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < Session.MOVING + size; i++) {
            sessions.add(new Session(
                    i,
                    seed,
                    hints,
                    this,
                    origin,
                    objects,
                    (seed & 0xffff) << 40 | (long) hints.ordinal() << 36,
                    deeds,
                    endNs));
            threads.add(new Thread(sessions.get(i), "session"));
        }
        threads.forEach(Thread::start);
        faults.run(this);
        for (Thread thread : threads) {
            thread.join();
        }
        List<Op> ops =
                sessions.stream().flatMap(session -> session.ops().stream()).toList();
        History history = new History(seed, kind, ops, ledger, origin, fabric.story());
        heal();
        return history;
    }

    private void standIns(long seed) {
        List<Keeper> next = new ArrayList<>();
        Random random = new Random(~seed);
        for (int k = 0; k < SPOTS.size(); k++) {
            Keeper keeper = new Keeper(
                    SPOTS.get(k).name(),
                    origin,
                    ledger,
                    name -> SPOTS.stream()
                            .filter(spot ->
                                    spot.kind() == Spot.UPPER && spot.name().equals(name))
                            .findFirst()
                            .map(spot -> next.get(SPOTS.indexOf(spot)))
                            .orElse(null),
                    seed * 31 + k);
            long[] away = AWAY_MS[(int) (seed / TURN % AWAY_MS.length)];
            keeper.away(away[0], away[1]);
            keeper.clockOff(random.nextInt(2 * MOST_OFF_MS + 1) - MOST_OFF_MS);
            next.add(keeper);
        }
        keepers = next;
        for (int k = 0; k < SPOTS.size(); k++) {
            fabric.node(k).lines.clear();
            fabric.node(k).script(k < CACHES + PARENTS ? next.get(k) : source(next.get(k)));
        }
    }

    /** The origin holds nothing: whatever is asked for is given out anew. */
    private static StandInNode.Script source(Keeper keeper) {
        return (line, body) -> {
            keeper.clear();
            return keeper.answer(line.replace(" cls=", " via=origin,cls=").replace("ride", "alone"), body);
        };
    }

    // ---------------------------------------------------------------- faults

    /** Datagrams pass again; boards that are silent stay so. */
    void healWays() {
        fabric.healWays();
    }

    void kill(int front) throws InterruptedException {
        if (fabric.living().size() > 2 && fabric.living().contains(front)) {
            fabric.kill(front);
        }
    }

    /** Starts a front again, with another error of its clock. */
    void start(int front) throws Exception {
        if (!fabric.living().contains(front)) {
            offMs.set(front, off());
            fabric.start(front);
        }
    }

    void pause(int front, long ms) throws Exception {
        if (fabric.living().contains(front)) {
            fabric.pause(front, ms);
        }
    }

    /** Every board tells of a cache's new state; one that goes comes back empty. */
    void changes(int cache, int state) {
        for (int front = 0; front < size; front++) {
            fabric.changes(front, cache, state);
        }
        if (state == 2) {
            keepers.get(cache).clear();
        }
    }

    private void parents(boolean there) {
        for (int node = CACHES; there != parents && node < CACHES + PARENTS; node++) {
            for (int front = 0; front < size; front++) {
                fabric.changes(front, node, there ? 0 : 2);
            }
        }
        parents = there;
    }

    /**
     * An object is changed and purged: every board tells it at once, caches and parents drop it when they come to it.
     */
    void purge(int object) {
        purge(object, Math.abs(off()) * PURGE_DROPS_MS / MOST_OFF_MS);
    }

    /** Likewise; they come to it as late as they may. */
    void purgeSlowly(int object) {
        purge(object, PURGE_DROPS_MS);
    }

    private void purge(int object, long dropsMs) {
        origin.write(objects[object], null);
        ledger.purged(objects[object], origin.ms());
        for (int front = 0; front < size; front++) {
            fabric.purges(front, objects[object]);
        }
        long purged = objects[object];
        for (Keeper keeper : keepers) {
            later.schedule(() -> keeper.drop(purged), dropsMs, TimeUnit.MILLISECONDS);
        }
    }

    /** What the boards of these fronts tell comes so much later. */
    void silentFor(Set<Integer> fronts, long ms) {
        for (int front : fronts) {
            fabric.boardSilent(front, true);
            later.schedule(() -> fabric.boardSilent(front, false), ms, TimeUnit.MILLISECONDS);
        }
    }

    /** All is sound again, and all fronts run. */
    private void heal() throws Exception {
        fabric.heal();
        for (int front : fabric.everyone()) {
            start(front);
        }
        fabric.awaitWhole(Fleet.WAIT_MS);
    }

    @Override
    public void close() throws IOException {
        later.shutdownNow();
        fabric.close();
    }
}
