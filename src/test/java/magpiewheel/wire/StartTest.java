package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import magpiewheel.wire.ScriptedBoard.Node;
import magpiewheel.wire.ScriptedBoard.Watch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** From the first moment of a process to the answer {@code UP}, with discovery in whatever state. */
public class StartTest {
    private static final String OFF = "{}";
    private static final int CACHE = 1;
    private static final int ORIGIN = 0xf0000009;
    private Fleet fleet;
    private StandInNode cache;

    @BeforeMethod
    void open() throws Exception {
        fleet = new Fleet();
        cache = new StandInNode((line, body) -> StandInNode.done(line, OneFront.HIT, new byte[100]));
    }

    @AfterMethod(alwaysRun = true)
    void close() throws Exception {
        fleet.close();
        cache.close();
    }

    private String config(String more) {
        return Fleet.config(
                "127.0.0.1:0",
                0,
                1,
                more,
                Fleet.node("s-00000001", cache.address(), "east", "box"),
                Fleet.node("s-f0000009", cache.address(), "central", "origin"));
    }

    private static String status(InetSocketAddress front) throws Exception {
        try (Client client = new Client(front)) {
            client.send("STATUS", 1, "");
            return client.answer().word();
        }
    }

    private static boolean statusIs(InetSocketAddress front, String word) {
        try {
            return status(front).equals(word);
        } catch (Exception e) {
            // Nothing was asked on it for a moment, as on a busy machine.
            return false;
        }
    }

    private static void awaitUp(InetSocketAddress front) throws Exception {
        Fleet.until("the front is up", () -> statusIs(front, "UP"));
    }

    private static void assertServes(InetSocketAddress front) throws Exception {
        try (Client client = new Client(front)) {
            client.ask(7, "video", "0000000000000005", Client.PATIENT_MS, "");
            assertEquals(client.answer().word(), "OK");
        }
    }

    private static int unusedPort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** States of discovery at the start; none of them ever sends a list. */
    @DataProvider
    Object[][] discovery() {
        return new Object[][] {{"down"}, {"silent"}, {"absent"}};
    }

    /** The list of the configuration is enough to be up and to serve, whatever the board does. */
    @Test(dataProvider = "discovery")
    public void aFrontIsUpByTheListOfItsConfiguration(String state) throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"))) {
            String board =
                    "\"board\":\"127.0.0.1:" + (state.equals("down") ? unusedPort() : silent.getLocalPort()) + "\",";
            Fleet.Front front = fleet.front("n0", config(state.equals("absent") ? "" : board), OFF);
            awaitUp(front.address);
            assertServes(front.address);
        }
    }

    /** Lists of a configuration by which no request could be served. */
    @DataProvider
    Object[][] useless() {
        String node = Fleet.node("s-00000001", new InetSocketAddress("127.0.0.1", 9), "east", "box");
        return new Object[][] {
            {"no list at all", "\"known\":{\"rev\":0,\"notices\":[]}"},
            {"a list of nobody", known("")},
            {"a list of one that is gone", known(node.replace("active", "left"))},
            {"a list of one that drains", known(node.replace("active", "leaving"))}
        };
    }

    private static String known(String nodes) {
        return "\"known\":{\"rev\":0,\"notices\":[{\"rev\":0,\"pool\":{\"reset\":true,\"instances\":[" + nodes
                + "]}}]}";
    }

    /** The front is down until discovery has sent a list that it can serve by, and again when nobody is left. */
    @Test(dataProvider = "useless")
    public void aFrontThatCouldServeNothingIsDown(String name, String known) throws Exception {
        try (ScriptedBoard board = new ScriptedBoard()) {
            String config = config(board.member()).replaceFirst("\"known\":\\{.*?\\]\\}\\}\\]\\}", known);
            assertTrue(config.contains(known));
            Fleet.Front front = fleet.front("n0", config, OFF);
            front.await("has practised");
            try (Watch watch = board.accept()) {
                assertEquals(watch.asked, 0);
                assertEquals(status(front.address), "DOWN");
                watch.list(
                        1,
                        ScriptedBoard.KIND_WHOLE,
                        Node.cache(CACHE, cache, ScriptedBoard.READY),
                        Node.origin(ORIGIN, cache));
                Fleet.until("the front is up", () -> statusIs(front.address, "UP"));
                assertServes(front.address);
                watch.list(2, ScriptedBoard.KIND_WHOLE);
                Fleet.until("the front is down", () -> statusIs(front.address, "DOWN"));
            }
        }
    }

    /** The first file is held back, so the signal comes before anything of the configuration is known. */
    @Test
    public void aReloadDuringTheStartEndsNoProcess() throws Exception {
        Path held = fleet.folder().resolve("held-app.json");
        assertEquals(new ProcessBuilder("mkfifo", held.toString()).start().waitFor(), 0);
        try (ScriptedBoard first = new ScriptedBoard();
                ScriptedBoard next = new ScriptedBoard()) {
            Path file = fleet.file("held.json", config(first.member()));
            Fleet.Front front = new Fleet.Front(fleet.run(
                    Map.of("GW_CONFIG", file.toString(), "MAGPIEWHEEL_APP", held.toString()),
                    List.of("sh", "-c", "exec \"$@\"", "sh"),
                    "serve"));
            // Opening it waits until the program reads it.
            try (var app = Files.newOutputStream(held)) {
                fleet.file("held.json", config(next.member()));
                new ProcessBuilder("kill", "-HUP", Long.toString(front.process.pid()))
                        .start()
                        .waitFor();
                app.write(OFF.getBytes());
            }
            front.address = front.awaitAddress("listens at");
            awaitUp(front.address);
            assertTrue(front.process.isAlive());
            try (Watch watch = next.accept()) {
                assertEquals(watch.asked, 1);
            }
            assertTrue(
                    front.said.stream().anyMatch(line -> line.contains("configuration read again")), "" + front.said);
        }
    }

    /** A process that was told to end before it had started ended without a word. */
    @Test
    public void aSignalBeforeTheStartIsNamedAsTheEnd() throws Exception {
        Path held = fleet.folder().resolve("never-written.json");
        assertEquals(new ProcessBuilder("mkfifo", held.toString()).start().waitFor(), 0);
        Path file = fleet.file("ended.json", "{}");
        Fleet.Front front = new Fleet.Front(fleet.run(
                Map.of("GW_CONFIG", file.toString(), "MAGPIEWHEEL_APP", held.toString()),
                List.of("sh", "-c", "exec \"$@\"", "sh"),
                "serve"));
        try (var app = Files.newOutputStream(held)) {
            app.flush();
            front.process.toHandle().destroy();
            front.await("process=ended reason=signal-before-the-start");
            assertTrue(front.process.waitFor(Fleet.WAIT_MS, TimeUnit.MILLISECONDS));
            assertFalse(front.said.stream().anyMatch(line -> line.contains("counters")), "" + front.said);
        }
    }
}
