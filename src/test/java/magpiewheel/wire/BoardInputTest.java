package magpiewheel.wire;

import static org.testng.Assert.assertEquals;

import java.nio.ByteBuffer;
import java.util.Arrays;
import magpiewheel.wire.ScriptedBoard.Node;
import magpiewheel.wire.ScriptedBoard.Watch;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What discovery may write, row by row, and the stated end of each. */
public class BoardInputTest {
    private static final int KIND_PURGE = 3;
    private static final int KIND_GROUP = 4;
    private static final int RECORD = 27;
    private static final int STATE_AT = 10;
    private static final int ZONE_AT = 11;
    private static final int KIND_AT = 12;
    private static final int STARTED_AT = 19;
    private static final int CACHE = 1;
    private static final int ORIGIN = 0xf0000009;

    /** What becomes of a message. */
    private enum End {
        /** Taken as an event. */
        TAKEN,
        /** Passed over; the connection goes on. */
        IGNORED,
        /** The connection is left, and the event asked for again. */
        LEFT
    }

    /** A message under the next number, by what is known. */
    private interface Message {
        byte[] under(long number) throws Exception;
    }

    private Fleet fleet;
    private ScriptedBoard board;
    private StandInNode cache;
    private Client client;
    private Fleet.Front front;
    /** The number of the last event that the front has, and the counters that it must show. */
    private long last = 1;

    private int events;
    private int garbage;
    private int tag = 1;

    @BeforeClass
    void start() throws Exception {
        fleet = new Fleet();
        board = new ScriptedBoard();
        cache = new StandInNode((line, body) -> StandInNode.done(line, OneFront.HIT, new byte[10]));
        front = fleet.front(
                "n0",
                Fleet.config(
                        "127.0.0.1:0",
                        0,
                        1,
                        board.member(),
                        Fleet.node("s-00000001", cache.address(), "east", "box"),
                        Fleet.node("s-f0000009", cache.address(), "central", "origin")),
                "{}");
    }

    @AfterClass(alwaysRun = true)
    void stop() throws Exception {
        fleet.close();
        board.close();
        cache.close();
    }

    private static Object[] row(String name, End end, Message message) {
        return new Object[] {name, end, message};
    }

    private byte[] record(int at, int value) throws Exception {
        byte[] record = ScriptedBoard.records(Node.cache(2, cache, ScriptedBoard.READY));
        record[at] = (byte) value;
        return record;
    }

    private static byte[] withLength(int length, long number) {
        return ByteBuffer.allocate(Integer.BYTES + Long.BYTES + 1)
                .putInt(length)
                .putLong(number)
                .array();
    }

    private static Message list(int kind, byte[] payload) {
        return number -> ScriptedBoard.frame(number, kind, payload);
    }

    @DataProvider
    Object[][] messages() throws Exception {
        int whole = ScriptedBoard.KIND_WHOLE;
        int changes = ScriptedBoard.KIND_CHANGES;
        byte[] one = record(STATE_AT, 0);
        byte[] twice = Arrays.copyOf(one, 2 * RECORD);
        System.arraycopy(one, 0, twice, RECORD, RECORD);
        return new Object[][] {
            row("a length that is too short", End.LEFT, number -> withLength(Long.BYTES, number)),
            row("a length of 0", End.LEFT, number -> withLength(0, number)),
            row("a negative length", End.LEFT, number -> withLength(-1, number)),
            row("a length over 1 MiB", End.LEFT, number -> withLength((1 << 20) + 1, number)),
            row("an empty message with a payload", End.LEFT, list(0, new byte[1])),
            row("an unknown kind", End.LEFT, list(5, new byte[0])),
            row("a whole list with part of a record", End.LEFT, list(whole, new byte[RECORD - 1])),
            row("changes with part of a record", End.LEFT, list(changes, new byte[RECORD + 1])),
            row("a purge that is too short", End.LEFT, list(KIND_PURGE, new byte[15])),
            row("a purge that is too long", End.LEFT, list(KIND_PURGE, new byte[17])),
            row("a purge of a group as long as one of an object", End.LEFT, list(KIND_GROUP, new byte[16])),
            row("an unknown state", End.LEFT, list(changes, record(STATE_AT, 3))),
            row("a start before all time", End.LEFT, list(changes, record(STARTED_AT, 0x80))),
            row("a start beyond the clock", End.LEFT, list(changes, record(STARTED_AT, 0x7f))),
            row("a purge of an object", End.TAKEN, number -> ScriptedBoard.purgeFrame(number, 9)),
            row("a purge of a group", End.TAKEN, list(KIND_GROUP, new byte[10])),
            row("changes with nothing in them", End.TAKEN, list(changes, new byte[0])),
            row("a whole list of nobody", End.TAKEN, list(whole, new byte[0])),
            row("a node in an unknown zone", End.TAKEN, list(changes, record(ZONE_AT, 250))),
            row("a node of an unknown kind", End.TAKEN, list(changes, record(KIND_AT, 250))),
            row("a node that was never there and is gone", End.TAKEN, list(changes, record(STATE_AT, 2))),
            row("a node twice in one list", End.TAKEN, list(whole, twice)),
            row("an empty message", End.IGNORED, number -> ScriptedBoard.frame(number, 0, new byte[0])),
            row("an event that is known", End.IGNORED, number -> ScriptedBoard.frame(number - 1, whole, new byte[0])),
            row("number 0", End.IGNORED, number -> ScriptedBoard.frame(0, whole, new byte[0])),
            row("a number beyond 63 bits", End.IGNORED, number -> ScriptedBoard.frame(-1, whole, new byte[0])),
        };
    }

    /** Behind every one of them the front follows discovery, from the number that it has, and serves. */
    @Test(dataProvider = "messages")
    public void eachMessageHasItsEnd(String name, End end, Message message) throws Exception {
        try (Watch watch = board.accept()) {
            assertEquals(watch.asked, last);
            watch.raw(message.under(last + 1));
            if (end == End.LEFT) {
                watch.awaitEnd();
                garbage++;
            } else {
                last += end == End.TAKEN ? 1 : 0;
                events += end == End.TAKEN ? 1 : 0;
                restore(watch);
            }
        }
        if (end == End.LEFT) {
            try (Watch again = board.accept()) {
                assertEquals(again.asked, last);
                restore(again);
            }
        }
    }

    /** Cut anywhere, an event counts for nothing and is asked for again. */
    @Test
    public void halfOfAnEventIsNoEvent() throws Exception {
        byte[] event = ScriptedBoard.purgeFrame(last + 1, 9);
        for (int length = 1; length < event.length; length += 6) {
            try (Watch watch = board.accept()) {
                assertEquals(watch.asked, last, "cut at " + length);
                watch.mute();
                watch.raw(Arrays.copyOf(event, length));
            }
        }
        try (Watch watch = board.accept()) {
            restore(watch);
        }
    }

    /** Names the nodes anew; what is asked for then is served by them. */
    private void restore(Watch watch) throws Exception {
        last++;
        events++;
        watch.list(
                last,
                ScriptedBoard.KIND_WHOLE,
                Node.cache(CACHE, cache, ScriptedBoard.READY),
                Node.origin(ORIGIN, cache));
        client = new Client(front.address);
        try {
            OneFront.awaitCounter(client, "board_events=" + events);
            OneFront.awaitCounter(client, "board_garbage=" + garbage);
            client.ask(tag++, "video", "0000000000000005", Client.PATIENT_MS, "");
            assertEquals(client.answer().word(), "OK");
        } finally {
            client.close();
        }
    }
}
