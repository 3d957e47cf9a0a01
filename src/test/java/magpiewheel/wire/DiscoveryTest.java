package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import magpiewheel.wire.ScriptedBoard.Node;
import magpiewheel.wire.ScriptedBoard.Watch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Lists in every order that discovery may send them in, and connections to it that end or fall silent. */
public class DiscoveryTest extends OneFront {
    private static final int FIRST = 1;
    private static final int SECOND = 2;
    private static final int ORIGIN = 0xf0000009;
    private ScriptedBoard board;
    private StandInNode second;

    @Override
    String more() throws Exception {
        board = new ScriptedBoard();
        second = new StandInNode((line, body) -> StandInNode.done(line, HIT, BODY));
        return board.member();
    }

    @AfterMethod(alwaysRun = true)
    void closeBoard() throws Exception {
        board.close();
        second.close();
    }

    private void awaitEvents(int count) throws Exception {
        awaitCounter(client, "board_events=" + count);
    }

    /** Asks for one object and says which cache was asked. */
    private StandInNode askedFor(int tag) throws Exception {
        client.ask(tag, "video", "0000000000000005", Client.PATIENT_MS, "");
        assertEquals(client.answer().word(), "OK");
        return cache.lines.isEmpty() ? second : cache;
    }

    private Node[] withoutTheFirst() {
        return new Node[] {Node.cache(SECOND, second, ScriptedBoard.READY), Node.origin(ORIGIN, origin)};
    }

    /** A node that is missing in a whole list gets nothing more. */
    @Test
    public void aNodeThatAWholeListOmitsIsGone() throws Exception {
        try (Watch watch = board.accept()) {
            watch.list(2, ScriptedBoard.KIND_WHOLE, withoutTheFirst());
            awaitEvents(1);
            assertEquals(askedFor(1), second);
        }
    }

    /** A list may be late, also behind a reconnect: its number tells that it is older than what is known. */
    @Test
    public void anOlderListIsNotAppliedOverANewerOne() throws Exception {
        Node[] old = {Node.cache(FIRST, cache, ScriptedBoard.READY), Node.origin(ORIGIN, origin)};
        try (Watch watch = board.accept()) {
            watch.list(5, ScriptedBoard.KIND_WHOLE, withoutTheFirst());
            watch.list(4, ScriptedBoard.KIND_WHOLE, old);
            watch.list(5, ScriptedBoard.KIND_WHOLE, old);
            watch.purge(6, 77);
            awaitEvents(2);
            assertEquals(askedFor(1), second);
        }
        try (Watch again = board.accept()) {
            assertEquals(again.asked, 6);
            again.list(3, ScriptedBoard.KIND_WHOLE, old);
            again.purge(7, 78);
            awaitEvents(3);
            assertEquals(askedFor(2), second);
        }
    }

    /** What was opened to the node before it must not carry a request for the new one. */
    @Test
    public void aNewNodeAtAnOldAddressGetsConnectionsOfItsOwn() throws Exception {
        try (Watch watch = board.accept()) {
            assertEquals(askedFor(1), cache);
            awaitCounter(client, "dials=1");
            watch.list(2, ScriptedBoard.KIND_CHANGES, Node.cache(FIRST, cache, ScriptedBoard.GONE));
            watch.list(3, ScriptedBoard.KIND_CHANGES, Node.cache(SECOND, cache, ScriptedBoard.READY));
            awaitEvents(2);
            assertEquals(askedFor(2), cache);
            awaitCounter(client, "dials=2");
        }
    }

    /** Bytes that come one by one, and never make a whole message, are as good as silence. */
    @Test
    public void aConnectionWhoseMessageNeverEndsIsLeft() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        try (Watch watch = board.accept()) {
            watch.mute();
            Thread slow = new Thread(() -> {
                try {
                    for (byte one : ScriptedBoard.frame(2, ScriptedBoard.KIND_CHANGES, new byte[27 * 100])) {
                        watch.raw(new byte[] {one});
                        if (left.await(200, TimeUnit.MILLISECONDS)) {
                            return;
                        }
                    }
                } catch (IOException | InterruptedException e) {
                    // Left by the front, or the test has ended.
                }
            });
            slow.setDaemon(true);
            slow.start();
            try (Watch again = board.accept()) {
                assertEquals(again.asked, 1);
            }
            left.countDown();
        }
    }

    /** All events of the time without discovery come behind the last one known, and none twice. */
    @Test
    public void discoveryThatIsDownIsAskedAgainUntilItIsBack() throws Exception {
        int port = board.port();
        try (Watch watch = board.accept()) {
            watch.purge(2, 77);
            awaitEvents(1);
            board.close();
        }
        assertEquals(askedFor(1), cache);
        board = new ScriptedBoard(port);
        try (Watch again = board.accept()) {
            assertEquals(again.asked, 2);
            again.purge(2, 77);
            again.list(3, ScriptedBoard.KIND_WHOLE, withoutTheFirst());
            awaitEvents(2);
            cache.lines.clear();
            assertEquals(askedFor(2), second);
        }
    }

    /** The connection ends in the middle of an event, by the reload: the new board is asked for it again. */
    @Test
    public void aReloadInTheMiddleOfAnEventAsksTheNewBoardForIt() throws Exception {
        byte[] event = ScriptedBoard.frame(2, ScriptedBoard.KIND_WHOLE, ScriptedBoard.records(withoutTheFirst()));
        try (Watch old = board.accept();
                ScriptedBoard next = new ScriptedBoard()) {
            old.mute();
            old.raw(Arrays.copyOf(event, event.length - 1));
            fleet.file("n0.json", Fleet.config("127.0.0.1:0", 0, 1, next.member(), nodes()));
            hangUp(front.process);
            try (Watch watch = next.accept()) {
                assertEquals(watch.asked, 1);
                old.awaitEnd();
                watch.raw(event);
                awaitEvents(1);
                assertEquals(askedFor(1), second);
            }
        }
    }

    /** A front that was started without discovery follows the board that a reload names. */
    @Test
    public void aReloadMayNameTheFirstBoard() throws Exception {
        Fleet.Front without = fleet.front("n1", Fleet.config("127.0.0.1:0", 0, 1, "", nodes()), OFF);
        fleet.file("n1.json", Fleet.config("127.0.0.1:0", 0, 1, board.member(), nodes()));
        try (Watch ofTheOther = board.accept()) {
            hangUp(without.process);
            try (Watch watch = board.accept()) {
                assertEquals(watch.asked, 1);
            }
            assertEquals(ofTheOther.asked, 1);
        }
    }

    /** The old board goes on talking, so nothing but the reload itself leads to the new one. */
    @Test
    public void aFileThatCannotBeReadIsTriedAgainWithoutASignal() throws Exception {
        try (Watch old = board.accept();
                ScriptedBoard next = new ScriptedBoard()) {
            assertEquals(old.asked, 1);
            assertTrue(fleet.folder().resolve("n0.json").toFile().delete());
            assertTrue(fleet.folder().resolve("n0.json").toFile().mkdir());
            hangUp(front.process);
            assertTrue(front.await("kept as it was").contains("a file that can be read"));
            assertTrue(fleet.folder().resolve("n0.json").toFile().delete());
            fleet.file("n0.json", Fleet.config("127.0.0.1:0", 0, 1, next.member(), nodes()));
            try (Watch watch = next.accept()) {
                assertEquals(watch.asked, 1);
            }
        }
    }

    private static void hangUp(Process process) throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }
}
