package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Servers die and others, of another cell, come up at their addresses before discovery tells: a request that may have
 * run at the dead ones must not be sent to the new ones, which do not know its key.
 */
public class ReplacedServerTest {
    private static final int CACHES = 10;
    private static final int CELL_SIZE = 2;
    private static final int NEW_CELL = 99;
    private static final int REQUESTS = 40;
    /** The number of the request that is in work when its cell dies. */
    private static final int FATAL = 10;

    private static final long WORK_MS = 40;
    private static final long REQUEST_INTERVAL_MS = 30;

    /** The caches of one try, and where each key ran. */
    private static final class Cells implements AutoCloseable {
        private final List<StandInNode> caches = new CopyOnWriteArrayList<>();
        private final List<StandInNode> replacements = new CopyOnWriteArrayList<>();
        private final Map<String, Integer> cellByKey = new ConcurrentHashMap<>();
        private final List<String> ranTwice = new CopyOnWriteArrayList<>();
        private final AtomicInteger worked = new AtomicInteger();
        private final long replacedAfterMs;

        Cells(long replacedAfterMs) throws IOException {
            this.replacedAfterMs = replacedAfterMs;
            for (int i = 0; i < CACHES; i++) {
                int cell = 1 + i / CELL_SIZE;
                StandInNode cache = new StandInNode((line, body) -> null);
                cache.abreast(line -> work(line, cell));
                caches.add(cache);
            }
        }

        private byte[] work(String line, int cell) throws InterruptedException {
            run(line, cell);
            Thread.sleep(WORK_MS);
            if (worked.incrementAndGet() == FATAL) {
                Thread killer = new Thread(() -> replace(cell));
                killer.setDaemon(true);
                killer.start();
                Thread.sleep(Fleet.WAIT_MS);
            }
            Thread.sleep(WORK_MS);
            return StandInNode.done(line, OneFront.HIT, new byte[1_000]);
        }

        byte[] run(String line, int cell) {
            String key = line.replaceAll(".*nonce=([0-9a-f]*).*", "$1");
            Integer before = cellByKey.putIfAbsent(key, cell);
            if (before != null && before != cell) {
                ranTwice.add(key + " ran in cell " + before + " and in cell " + cell);
            }
            return StandInNode.done(line, OneFront.HIT, new byte[1_000]);
        }

        private void replace(int cell) {
            try {
                for (int i = (cell - 1) * CELL_SIZE; i < cell * CELL_SIZE; i++) {
                    int port = caches.get(i).address().getPort();
                    caches.get(i).die();
                    Thread.sleep(replacedAfterMs);
                    replacements.add(new StandInNode((line, body) -> run(line, NEW_CELL), port));
                }
            } catch (IOException | InterruptedException e) {
                ranTwice.add("the replacement failed: " + e);
            }
        }

        @Override
        public void close() throws IOException {
            for (StandInNode node : caches) {
                node.close();
            }
            for (StandInNode node : replacements) {
                node.close();
            }
        }
    }

    @DataProvider
    Object[][] delays() {
        return new Object[][] {{0L}, {1L}, {2L}, {4L}, {8L}, {30L}};
    }

    /** A server that died was replaced at its address, and the request ran there a second time. */
    @Test(dataProvider = "delays")
    public void aRequestThatMayHaveRunIsNotSentToTheSuccessorAtTheAddress(long replacedAfterMs) throws Exception {
        try (Cells cells = new Cells(replacedAfterMs);
                StandInNode origin = new StandInNode((line, body) -> cells.run(line, 0));
                Fleet fleet = new Fleet()) {
            List<String> nodes = new ArrayList<>();
            for (int i = 0; i < CACHES; i++) {
                nodes.add(Fleet.node(
                                String.format("s-%08x", i + 1),
                                cells.caches.get(i).address(),
                                "east",
                                "box")
                        .replace("\"cell\":0", "\"cell\":" + (1 + i / CELL_SIZE)));
            }
            nodes.add(Fleet.node("s-f0000009", origin.address(), "central", "origin"));
            String config = Fleet.config("127.0.0.1:0", 0, 1, "", nodes.toArray(String[]::new))
                    .replace("\"class_write\":[false,false,true]", "\"class_write\":[false,false,false]")
                    .replace("\"effect\":\"token\"", "\"effect\":\"token\",\"key_scope\":\"cell\"");
            Fleet.Front front = fleet.front("n0", config, OneFront.OFF);
            front.await("has practised");
            try (Client client = new Client(front.address)) {
                for (int i = 1; i <= REQUESTS; i++) {
                    client.ask(
                            i,
                            "apply",
                            String.format("%016x", 77_000 + 7_919 * i),
                            3_000,
                            String.format(",nonce=%032x", i));
                    Thread.sleep(REQUEST_INTERVAL_MS);
                }
                for (int i = 0; i < REQUESTS; i++) {
                    client.answer();
                }
            }
            assertTrue(cells.worked.get() >= FATAL, "no request was in work when its cell died");
            assertEquals(cells.ranTwice, List.of());
        }
    }
}
