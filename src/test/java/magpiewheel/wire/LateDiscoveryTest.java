package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * Guards against a router that gives up a connection to discovery before what is late on it has arrived, and so never
 * receives a drain, a new server or a purge; and that serves purged copies meanwhile.
 */
public class LateDiscoveryTest extends OneFront {
    /** ms; discovery may be as late as this, and an event counts as received this long after it was sent. */
    private static final long DELIVERY_BOUND_MS = 7_000;
    /** ms; until when a purge must be followed, by the settings and the protocol's slack for sockets. */
    private static final long NOTICE_MS = 350;

    private static final long[] EVENTS_AT_MS = {500, 5_000, 12_000};
    private static final long RELOAD_AT_MS = 8_000;
    private static final String OBJECT = "0000000000000005";
    private static final String OWN_COPIES = "\"flow_bytes_per_s\":1000000,\"link_bytes_per_s\":4000000,";

    private final LateBoard.Events events = new LateBoard.Events();
    private LateBoard board;

    @Override
    String more() throws Exception {
        board = new LateBoard(events, (sinceStartMs, connection) -> 0);
        return board.member() + OWN_COPIES;
    }

    @AfterMethod(alwaysRun = true)
    void closeBoard() throws Exception {
        board.close();
    }

    private static Map<String, LateBoard.Delay> delays() {
        Map<String, LateBoard.Delay> delays = new LinkedHashMap<>();
        for (long steady : new long[] {0, 2_200, 2_400, 3_000, 5_000, 6_900}) {
            delays.put("steady " + steady, (sinceStartMs, connection) -> steady);
        }
        delays.put("grows", (sinceStartMs, connection) -> Math.min(6_500, sinceStartMs / 2));
        delays.put("later frames alone", (sinceStartMs, connection) -> sinceStartMs < 4_000 ? 0 : 6_500);
        delays.put("shrinks", (sinceStartMs, connection) -> sinceStartMs < 6_000 ? 6_500 : 1_000);
        delays.put("comes and goes", (sinceStartMs, connection) -> sinceStartMs / 3_000 % 2 == 0 ? 6_500 : 0);
        delays.put("another one for each connection", (sinceStartMs, connection) -> connection % 3 * 3_000L);
        return delays;
    }

    /** Each event arrives within the protocol's bound, at any delay up to it. */
    @Test
    public void everyEventIsReceivedAtAnyDelayUpToTheBound() throws Exception {
        List<String> late = inParallel(delays(), (name, delay) -> {
            LateBoard.Events own = new LateBoard.Events();
            try (LateBoard its = new LateBoard(own, delay)) {
                return lateEvents(name, its, own, router(name, its), () -> {});
            }
        });
        assertEquals(String.join("; ", late), "");
    }

    /** What was on its way when a reload names another service arrives by the old connection. */
    @Test
    public void noEventIsLateBecauseOfAReload() throws Exception {
        List<String> late = inParallel(delays(), (name, delay) -> {
            LateBoard.Events own = new LateBoard.Events();
            try (LateBoard old = new LateBoard(own, delay);
                    LateBoard next = new LateBoard(own, delay)) {
                Fleet.Front router = router(name, old);
                return lateEvents(name, old, own, router, () -> {
                    old.silence(true);
                    moveTo(name, router, next);
                });
            }
        });
        assertEquals(String.join("; ", late), "");
    }

    /**
     * A router that has heard nothing for longer than the bound can't know that its copy was purged; a younger copy is
     * served on, and both are once discovery is back.
     */
    @Test
    public void anOlderCopyIsNotServedWhileDiscoveryIsSilentForLonger() throws Exception {
        cache.script((line, body) -> StandInNode.done(line, HIT, new byte[1_000]));
        client.ask(1, "video", OBJECT, Client.PATIENT_MS, "");
        assertEquals(client.answer().word(), "OK");
        cache.script((line, body) -> StandInNode.word(line, "WAIT"));
        origin.script((line, body) -> StandInNode.word(line, "WAIT"));
        assertEquals(wordFor(2), "OK", "the own copy is served where no server can");
        board.silence(true);
        long silentAtMs = board.sinceStartMs();
        Thread.sleep(DELIVERY_BOUND_MS / 2);
        assertEquals(wordFor(3), "OK", "a short silence proves nothing");
        Thread.sleep(silentAtMs + DELIVERY_BOUND_MS + NOTICE_MS - board.sinceStartMs());
        for (int tag = 4; tag < 14; tag++) {
            assertEquals(wordFor(tag), "BUSY", "ms after the last frame: " + (board.sinceStartMs() - silentAtMs));
            Thread.sleep(100);
        }
        board.silence(false);
        Fleet.until("the own copy is served again", () -> {
            try {
                return wordFor((int) (100 + board.sinceStartMs())).equals("OK");
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    private String wordFor(int tag) throws Exception {
        client.ask(tag, "video", OBJECT, Client.PATIENT_MS, "");
        return client.answer().word();
    }

    // ---------------------------------------------------------------- one case

    private interface Case {
        List<String> lateEvents(String name, LateBoard.Delay delay) throws Exception;
    }

    private interface Step {
        void run() throws Exception;
    }

    private static List<String> inParallel(Map<String, LateBoard.Delay> cases, Case one) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(cases.size());
        try {
            List<Future<List<String>>> results = new ArrayList<>();
            cases.forEach((name, delay) -> results.add(threads.submit(() -> one.lateEvents(name, delay))));
            List<String> late = new ArrayList<>();
            for (Future<List<String>> result : results) {
                late.addAll(result.get());
            }
            return late;
        } finally {
            threads.shutdownNow();
        }
    }

    private Fleet.Front router(String name, LateBoard of) throws Exception {
        return fleet.front(fileName(name), Fleet.config("127.0.0.1:0", 0, 1, of.member(), nodes()), OFF);
    }

    private static String fileName(String name) {
        return name.replace(' ', '-');
    }

    private void moveTo(String name, Fleet.Front router, LateBoard next) throws Exception {
        fleet.file(fileName(name) + ".json", Fleet.config("127.0.0.1:0", 0, 1, next.member(), nodes()));
        new ProcessBuilder("kill", "-HUP", Long.toString(router.process.pid()))
                .start()
                .waitFor();
    }

    /** Sends events at fixed times, takes a step in between, and names the events that were not received in time. */
    private static List<String> lateEvents(
            String name, LateBoard of, LateBoard.Events events, Fleet.Front router, Step reload) throws Exception {
        List<String> late = new ArrayList<>();
        List<Long> dueMs = new ArrayList<>();
        boolean reloaded = false;
        long startMs = of.sinceStartMs();
        int sent = 0;
        int received = 0;
        try (Client counters = new Client(router.address)) {
            while (received < EVENTS_AT_MS.length) {
                long nowMs = of.sinceStartMs() - startMs;
                if (sent < EVENTS_AT_MS.length && nowMs >= EVENTS_AT_MS[sent]) {
                    sent = events.purge(sent + 1);
                    dueMs.add(nowMs + DELIVERY_BOUND_MS + NOTICE_MS);
                }
                if (!reloaded && nowMs >= RELOAD_AT_MS) {
                    reload.run();
                    reloaded = true;
                }
                int count = eventCount(counters);
                for (; received < sent && (received < count || nowMs > dueMs.get(received)); received++) {
                    if (received >= count) {
                        late.add(name + ": event " + (received + 1) + " was not received in time");
                    }
                }
                Thread.sleep(20);
            }
        }
        return late;
    }

    private static int eventCount(Client of) throws Exception {
        String counters = OneFront.counters(of);
        assertTrue(counters.contains("board_events="), counters);
        return Integer.parseInt(counters.replaceAll(".*board_events=(\\d+).*", "$1"));
    }
}
