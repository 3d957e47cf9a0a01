package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Fronts as processes, with caches, parents, the origin and the board as stand-ins, for rows of the design. Caches say
 * whether they held what they give.
 */
final class DesignFleet implements AutoCloseable {
    private static final int PATIENCE_MS = 6_000;
    /** With so few buffers a front keeps no copies of its own of answers of this size. */
    private static final String APP = "{\"front\":{\"buffers\":200}}";

    private static final byte[] BODY = new byte[40_000];
    private static final String GROUP = "lot=3";

    /** What a node was asked. */
    private record Got(String node, String line, byte[] body, boolean lacked) {}

    private final Fleet fleet = new Fleet();
    private final Map<String, StandInNode> nodes = new LinkedHashMap<>();
    private final List<Got> got = new CopyOnWriteArrayList<>();
    private final Set<String> held = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean full = new AtomicBoolean();
    private final Map<Integer, Fleet.Front> fronts = new LinkedHashMap<>();
    private final Set<String> hidden = new HashSet<>();
    private final ServerSocket board = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
    private final List<byte[]> events = new CopyOnWriteArrayList<>();
    private final AtomicInteger tags = new AtomicInteger();
    private int last;
    private int before;
    private byte[] wrote;
    private long purgedAtMs;
    private long askedFromMs;
    private long askedToMs;
    private Map<String, String> picks = Map.of();
    private Map<String, String> picksBefore = Map.of();
    private String drained;

    DesignFleet() throws IOException {
        Thread listener = new Thread(this::listen);
        listener.setDaemon(true);
        listener.start();
    }

    // ---------------------------------------------------------------- what is given

    void nodes(int caches, int parents, boolean origin) throws IOException {
        for (int i = 1; i <= caches; i++) {
            node("cache " + i);
        }
        for (int i = 1; i <= parents; i++) {
            node("parent " + i);
        }
        if (origin) {
            node("the origin");
        }
    }

    private void node(String name) throws IOException {
        nodes.put(name, new StandInNode((line, body) -> {
            String what = name + line.replaceAll(".*(item=\\w+,chunk=\\d+).*", "$1");
            boolean serves = line.startsWith("serve");
            boolean busy = serves && full.compareAndSet(true, false);
            // A cache that is named no source is asked only for what it holds.
            boolean lacks =
                    serves && !busy && name.startsWith("cache") && !line.contains(",via=") && !held.contains(what);
            got.add(new Got(name, line, body, lacks));
            if (!serves) {
                return null;
            }
            if (busy || lacks) {
                return StandInNode.word(line, busy ? "WAIT" : "LACK");
            }
            return StandInNode.done(line, (held.add(what) ? "tell=filled" : "tell=hit") + ",tag=aa11,minted=1", BODY);
        }));
    }

    /** A front's list lacks this node. */
    void hide(int front, String name) {
        hidden.add(front + name);
    }

    void fronts(int count, boolean together) throws Exception {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            peers.add("127.0.0.1:" + Fleet.freePort("127.0.0.1"));
        }
        for (int i = 1; i <= count; i++) {
            String more = "\"board\":\"127.0.0.1:" + board.getLocalPort() + "\",";
            if (together) {
                more += "\"peer_listen\":\"" + peers.get(i - 1) + "\",\"peers\":[\"" + String.join("\",\"", peers)
                        + "\"],";
            }
            String[] known = listed(i);
            fronts.put(
                    i,
                    fleet.front(
                            "n" + i,
                            Fleet.config("127.0.0.1:0", together ? i - 1 : 0, together ? count : 1, more, known),
                            APP));
            awaitUp(i);
        }
    }

    private String[] listed(int front) {
        return nodes.keySet().stream()
                .filter(name -> !hidden.contains(front + name))
                .map(name -> {
                    String number = name.replaceAll("\\D", "");
                    InetSocketAddress at = nodes.get(name).address();
                    return switch (name.split(" ")[0]) {
                        case "cache" -> Fleet.node("s-0000000" + number, at, "east", "box");
                        case "parent" -> Fleet.node("s-000000a" + number, at, "central", "parent");
                        default -> Fleet.node("s-f0000009", at, "central", "origin");
                    };
                })
                .toArray(String[]::new);
    }

    private void awaitUp(int front) throws InterruptedException {
        Fleet.until("front " + front + " is up", () -> {
            try (Client client = new Client(fronts.get(front).address)) {
                client.send("STATUS", tags.incrementAndGet(), "");
                Client.Answer answer = client.answer();
                return answer != null && answer.word().equals("UP");
            } catch (IOException e) {
                return false;
            }
        });
    }

    // ---------------------------------------------------------------- what happens

    private static String entity(long object) {
        return String.format("%016x", object);
    }

    private static long object(String letter) {
        return 0x1000 + letter.charAt(0);
    }

    /** The next request meets a full cache first, and so does not stay where it was sent. */
    void firstIsFull() {
        full.set(true);
    }

    void read(int front, String letter, int part) throws IOException {
        read(front, object(letter), part);
        if (full.get()) {
            throw new IllegalStateException("no node was asked");
        }
    }

    private void read(int front, long object, int part) throws IOException {
        ask(front, "video", "entity=" + entity(object) + ",piece=" + part + "," + GROUP + ",size=40", new byte[0]);
    }

    void write(int front, String letter) throws IOException {
        wrote = new byte[5_000];
        new Random(7).nextBytes(wrote);
        ask(front, "apply", "nonce=5c0f,entity=" + entity(object(letter)), wrote);
    }

    private void ask(int front, String name, String fields, byte[] body) throws IOException {
        before = last;
        last = tags.incrementAndGet();
        askedFromMs = System.currentTimeMillis();
        try (Client client = new Client(fronts.get(front).address)) {
            client.send(
                    "ASK", last, name, String.format("trace=%016x,patience=%d,%s", last, PATIENCE_MS, fields), body);
            Client.Answer answer = client.answer();
            if (answer == null || !answer.word().equals("OK")) {
                throw new IllegalStateException("front " + front + " answered " + answer);
            }
        }
        askedToMs = System.currentTimeMillis();
    }

    /** Asks for objects one after another, and notes which node had each in the end. */
    void readMany(int front, int count) throws IOException {
        picksBefore = picks;
        Map<String, String> found = new LinkedHashMap<>();
        for (int i = 1; i <= count; i++) {
            read(front, 0x2000 + i, 0);
            found.put(entity(0x2000 + i), node(last));
        }
        picks = found;
    }

    void purge(String letter, boolean group, long agoMs) throws Exception {
        purgedAtMs = System.currentTimeMillis() - agoMs;
        ByteBuffer at = ByteBuffer.allocate(64);
        if (group) {
            at.put((byte) 4).putShort((short) 3).putLong(purgedAtMs);
        } else {
            at.put((byte) 3).putLong(object(letter)).putLong(purgedAtMs);
        }
        announce(at);
    }

    /** The cache of the last request drains. */
    void drains() throws Exception {
        drained = node(last);
        int number = Integer.parseInt(drained.replaceAll("\\D", ""));
        InetSocketAddress where = nodes.get(drained).address();
        int draining = 1;
        int east = 1;
        announce(ByteBuffer.allocate(64)
                .put((byte) 2)
                .putInt(number)
                .put(where.getAddress().getAddress())
                .putShort((short) where.getPort())
                .put((byte) draining)
                .put((byte) east)
                .put((byte) 0)
                .putShort((short) 0)
                .putInt(4_000)
                .putLong(0));
        got.clear();
    }

    /** The board tells all fronts. Twice: when the second is counted, the first is done. */
    private void announce(ByteBuffer event) throws Exception {
        byte[] bytes = Arrays.copyOf(event.array(), event.position());
        events.add(bytes);
        events.add(bytes);
        for (int front : fronts.keySet()) {
            Fleet.until("front " + front + " hears the board", () -> counter(front, "board_events") >= events.size());
        }
    }

    private long counter(int front, String name) {
        try (Client client = new Client(fronts.get(front).address)) {
            return Long.parseLong(OneFront.counters(client).replaceAll(".*\\b" + name + "=(\\d+),.*", "$1"));
        } catch (Exception e) {
            throw new IllegalStateException("no counter " + name, e);
        }
    }

    private void listen() {
        try {
            while (true) {
                Socket socket = board.accept();
                Thread writer = new Thread(() -> tell(socket));
                writer.setDaemon(true);
                writer.start();
            }
        } catch (IOException e) {
            // The row has ended.
        }
    }

    /** Tells a front what it lacks, and an empty frame now and then. The list that fronts start with is event 1. */
    private void tell(Socket socket) {
        try (socket) {
            int told = (int) new DataInputStream(socket.getInputStream()).readLong() - 1;
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            while (!board.isClosed()) {
                for (; told < events.size(); told++) {
                    byte[] event = events.get(told);
                    out.writeInt(Long.BYTES + event.length);
                    out.writeLong(told + 2);
                    out.write(event);
                }
                out.writeInt(Long.BYTES + 1);
                out.writeLong(told + 1);
                out.writeByte(0);
                out.flush();
                Thread.sleep(50);
            }
        } catch (IOException | InterruptedException e) {
            // The front, or the row, has ended.
        }
    }

    // ---------------------------------------------------------------- what must follow

    private List<Got> of(int tag) {
        return got.stream()
                .filter(g -> !g.lacked() && g.line().startsWith("serve " + entity(tag)))
                .toList();
    }

    /** The node that answered a request in the end. */
    private String node(int tag) {
        List<Got> all = of(tag);
        assertTrue(!all.isEmpty(), "no node was asked");
        return all.get(all.size() - 1).node();
    }

    private String field(String name) {
        Got line = of(last).get(of(last).size() - 1);
        return Arrays.stream(line.line().split("[ ,]"))
                .filter(word -> word.startsWith(name + "="))
                .findFirst()
                .orElse("");
    }

    void oneAttempt() {
        assertEquals(of(last).size(), 1);
    }

    void goesTo(String name) {
        switch (name) {
            case "a cache" -> assertTrue(node(last).startsWith("cache"), node(last));
            case "the cache that answered before" -> {
                assertTrue(node(before).startsWith("cache"), node(before));
                assertEquals(node(last), node(before));
            }
            default -> assertEquals(node(last), name);
        }
        oneAttempt();
    }

    void filledFrom(String name) {
        String via = field("via");
        assertTrue(via.startsWith(name.equals("a parent") ? "via=s-000000a" : "via=s-f0000009"), via);
    }

    void untouched() {
        assertEquals(of(last).get(0).body(), wrote);
        assertEquals(field("via") + field("tier") + field("fresh") + field("opts"), "");
        assertEquals(got.stream().map(Got::node).distinct().toList(), List.of("the origin"));
    }

    void onlyCopiesSincePurge() {
        long fresh = Long.parseLong(field("fresh").replace("fresh=", "0"));
        assertTrue(
                fresh > 0 && fresh <= askedToMs - purgedAtMs && fresh >= askedFromMs - purgedAtMs - 20,
                fresh + " ms, " + (askedToMs - purgedAtMs) + " ms after the purge");
    }

    void anyAge() {
        assertEquals(field("fresh"), "");
    }

    void drainedIsAskedNoMore() {
        assertTrue(!got.isEmpty() && got.stream().noneMatch(g -> g.node().equals(drained)), drained + " is asked");
    }

    /** Each cache has between a third and five thirds of an even part. */
    void cachesShare() {
        List<String> caches =
                nodes.keySet().stream().filter(name -> name.startsWith("cache")).toList();
        double even = (double) picks.size() / caches.size();
        for (String cache : caches) {
            long count = picks.values().stream().filter(cache::equals).count();
            assertTrue(count > even / 3 && count < even * 5 / 3, cache + " has " + count + " of " + picks.size());
        }
    }

    void samePicks() {
        assertEquals(picks, picksBefore);
    }

    void moved(String cache) {
        long moved = 0;
        for (Map.Entry<String, String> pick : picks.entrySet()) {
            String from = picksBefore.get(pick.getKey());
            moved += from.equals(pick.getValue()) ? 0 : 1;
            assertTrue(from.equals(pick.getValue()) != from.equals(cache), "from " + from + " to " + pick.getValue());
        }
        assertTrue(moved > 0, "none moved");
    }

    /**
     * Objects are filled by one front beside their hashed cache, one after another, until the other asks for one where
     * it is: a message may be lost.
     */
    void learns(int other, int from) throws Exception {
        long end = System.nanoTime() + Fleet.WAIT_MS * 1_000_000;
        for (int i = 1; System.nanoTime() < end; i++) {
            long object = 0x3000 + i;
            firstIsFull();
            read(from, object, 0);
            assertEquals(of(last).size(), 2, "attempts");
            assertNotEquals(of(last).get(0).node(), node(last));
            long heard = counter(other, "peer_received");
            Fleet.until("messages", () -> counter(other, "peer_received") >= heard + 6);
            String holder = node(last);
            read(other, object, 0);
            if (node(last).equals(holder)) {
                oneAttempt();
                return;
            }
        }
        throw new AssertionError("front " + other + " never learned of a fill");
    }

    @Override
    public void close() throws IOException {
        board.close();
        fleet.close();
        for (StandInNode node : nodes.values()) {
            node.close();
        }
    }
}
