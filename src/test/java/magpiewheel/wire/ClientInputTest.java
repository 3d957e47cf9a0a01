package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a client may write, row by row, and the stated end of each: the answers, and what becomes of the connection. */
public class ClientInputTest {
    private static final String FIELDS = "trace=%016x,patience=20000,entity=0000000000000005,piece=0,lot=3,size=40";
    private static final long STATUS_TAG = 999_999;
    /** What becomes of the connection behind the answers. */
    private enum End {
        OPEN,
        CLOSED
    }

    private Fleet fleet;
    private StandInNode cache;
    private Fleet.Front front;

    @BeforeClass
    void start() throws Exception {
        fleet = new Fleet();
        cache = new StandInNode((line, body) -> StandInNode.done(line, OneFront.HIT, new byte[10]));
        front = fleet.front(
                "n0",
                Fleet.config(
                        "127.0.0.1:0",
                        0,
                        1,
                        "",
                        Fleet.node("s-00000001", cache.address(), "east", "box"),
                        Fleet.node("s-f0000009", cache.address(), "central", "origin")),
                "{}");
        Fleet.until("the front is up", () -> statusOf(front).equals("UP"));
    }

    private static String statusOf(Fleet.Front front) {
        try (Client client = new Client(front.address)) {
            client.send("STATUS", 1, "");
            Client.Answer answer = client.answer();
            return answer == null ? "nothing" : answer.word();
        } catch (Exception e) {
            return "nothing";
        }
    }

    @AfterClass(alwaysRun = true)
    void stop() throws Exception {
        fleet.close();
        cache.close();
    }

    private static String part(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    private static String frame(String... parts) {
        StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
        for (String each : parts) {
            text.append(part(each));
        }
        return text.toString();
    }

    /** A read under tag 1 whose fields are the usual ones with a change, or with more. */
    private static String read(long trace, String from, String to, String more) {
        return frame("ASK", "1", "video", FIELDS.formatted(trace).replace(from, to) + more, "");
    }

    private static Object[] row(String name, String input, End end, String... answers) {
        return new Object[] {name, input, List.of(answers), end};
    }

    @DataProvider
    Object[][] malformed() {
        return new Object[][] {
            row("another protocol", "GET / HTTP/1.1\r\n\r\n", End.CLOSED),
            row("an array of one", "*1\r\n" + part("STATUS"), End.CLOSED),
            row("an array of six", frame("ASK", "1", "video", "", "", ""), End.CLOSED),
            row("an array of nothing", "*0\r\n", End.CLOSED),
            row("a negative count", "*-1\r\n", End.CLOSED),
            row("a count that is no number", "*x\r\n", End.CLOSED),
            row("a count without digits", "*\r\n", End.CLOSED),
            row("a count beyond 32 bits", "*9999999999\r\n", End.CLOSED),
            row("a count of 13 digits", "*0000000000002\r\n" + part("STATUS") + part("1"), End.CLOSED),
            row("a count without its line feed", "*2\rx", End.CLOSED),
            row("a part without its mark", "*2\r\n6\r\nSTATUS\r\n", End.CLOSED),
            row("a negative length", "*2\r\n$-1\r\n", End.CLOSED),
            row("a part that is too long", "*2\r\n$2049\r\n", End.CLOSED),
            row(
                    "a body that is too long",
                    "*5\r\n" + part("ASK") + part("1") + part("apply") + part("") + "$48001\r\n",
                    End.CLOSED),
            row("a part longer than it says", "*2\r\n$5\r\nSTATUS\r\n$1\r\n1\r\n", End.CLOSED),
            row("tag 0", frame("STATUS", "0"), End.CLOSED),
            row("a tag with a zero before it", frame("STATUS", "01"), End.CLOSED),
            row("a tag with a sign", frame("STATUS", "+1"), End.CLOSED),
            row("a negative tag", frame("STATUS", "-1"), End.CLOSED),
            row("a tag beyond 63 bits", frame("STATUS", "9223372036854775808"), End.CLOSED),
            row("no tag", frame("STATUS", ""), End.CLOSED),
            row("garbage behind a request", frame("STATUS", "1", "") + "garbage", End.CLOSED, "1 UP"),
        };
    }

    @DataProvider
    Object[][] unusable() {
        String failed = "1 FAILED";
        return new Object[][] {
            row("an unknown command", frame("HELLO", "1"), End.OPEN, failed),
            row("a command in small letters", frame("ask", "1", "video", FIELDS.formatted(1), ""), End.OPEN, failed),
            row("an empty command", frame("", "1"), End.OPEN, failed),
            row("an unknown class", frame("ASK", "1", "videos", FIELDS.formatted(1), ""), End.OPEN, failed),
            row("no class", frame("ASK", "1"), End.OPEN, failed),
            row("no fields", frame("ASK", "1", "video", "", ""), End.OPEN, failed),
            row("fields as long as a part may be", frame("ASK", "1", "video", "x".repeat(2_048), ""), End.OPEN, failed),
            row("no trace", read(1, "trace=0000000000000001,", "", ""), End.OPEN, failed),
            row("a trace of 15 digits", read(1, "trace=0", "trace=", ""), End.OPEN, failed),
            row("a trace in capitals", read(1, "trace=0", "trace=A", ""), End.OPEN, failed),
            row("no object", read(1, ",entity=0000000000000005", "", ""), End.OPEN, failed),
            row("an object of 17 digits", read(1, "entity=", "entity=0", ""), End.OPEN, failed),
            row("patience 0", read(1, "patience=20000", "patience=0", ""), End.OPEN, failed),
            row("a negative patience", read(1, "patience=", "patience=-", ""), End.OPEN, failed),
            row("a patience without end", read(1, "patience=20000", "patience=Infinity", ""), End.OPEN, failed),
            row("a negative part", read(1, "piece=0", "piece=-1", ""), End.OPEN, failed),
            row("a part of two points", read(1, "piece=0", "piece=0.0", ""), End.OPEN, failed),
            row("group 256", read(1, "lot=3", "lot=256", ""), End.OPEN, failed),
            row("a size that is no number", read(1, "size=40", "size=NaN", ""), End.OPEN, failed),
            row("a held copy that is no tag", read(1, "", "", ",ver=xyz"), End.OPEN, failed),
            row("an empty key", read(1, "", "", ",nonce="), End.OPEN, failed),
            row("a field twice", read(1, "", "", ",piece=0"), End.OPEN, failed),
            row("a field without its name", read(1, "", "", ",=1"), End.OPEN, failed),
            row("a field without its value", read(1, "", "", ",more"), End.OPEN, failed),
            row("a comma at the end", read(1, "", "", ","), End.OPEN, failed),
        };
    }

    @DataProvider
    Object[][] usable() {
        return new Object[][] {
            row("a read", read(101, "", "", ""), End.OPEN, "1 OK"),
            row("a read with a field that nobody knows", read(102, "", "", ",colour=red"), End.OPEN, "1 OK"),
            row(
                    "a read and a bad one behind it",
                    read(103, "", "", "") + frame("ASK", "2", "video", "", ""),
                    End.OPEN,
                    "1 OK",
                    "2 FAILED"),
            row("a question with all that a request may have", frame("STATUS", "1", "a", "b", "c"), End.OPEN, "1 UP"),
            row("the largest tag", frame("STATUS", "9223372036854775807"), End.OPEN, "9223372036854775807 UP"),
            row("one tag for two questions", frame("STATUS", "1") + frame("STATUS", "1"), End.OPEN, "1 UP", "1 UP"),
            row("a request taken back that never was", frame("NEVERMIND", "7"), End.OPEN),
            row("a request taken back twice", frame("NEVERMIND", "7") + frame("NEVERMIND", "7"), End.OPEN),
            row("a request taken back with a body", frame("NEVERMIND", "7", "", "", "body"), End.OPEN),
        };
    }

    /** What breaks the framing is the last thing read from its connection. */
    @Test(dataProvider = "malformed")
    public void whatIsMalformedEndsTheConnection(String name, String input, List<String> answers, End end)
            throws Exception {
        check(input, answers, end);
    }

    /** What is framed well and cannot be used fails alone; the connection goes on. */
    @Test(dataProvider = "unusable")
    public void whatCannotBeUsedFailsAlone(String name, String input, List<String> answers, End end) throws Exception {
        int before = cache.lines.size();
        check(input, answers, end);
        assertEquals(cache.lines.size(), before, "nothing is sent on");
    }

    /** What is unusual and allowed is answered as ever. */
    @Test(dataProvider = "usable")
    public void whatCanBeUsedIsAnswered(String name, String input, List<String> answers, End end) throws Exception {
        check(input, answers, end);
    }

    /** Each row once more, ending in the middle: no answer is owed, and the front takes no harm. */
    @Test
    public void halfOfEachRequestIsNoRequest() throws Exception {
        int before = cache.lines.size();
        String whole = read(104, "", "", "");
        for (int length = 1; length < whole.length(); length += 7) {
            try (Client client = new Client(front.address)) {
                client.raw(whole.substring(0, length).getBytes(StandardCharsets.ISO_8859_1));
                client.endOutput();
                assertEquals(client.answer(), null, "cut at " + length);
            }
        }
        assertEquals(cache.lines.size(), before, "nothing is sent on");
        check(whole, List.of("1 OK"), End.OPEN);
    }

    private void check(String input, List<String> answers, End end) throws Exception {
        try (Client client = new Client(front.address)) {
            client.raw(input.getBytes(StandardCharsets.ISO_8859_1));
            // In any order, as the protocol has it.
            List<String> came = new ArrayList<>();
            for (int i = 0; i < answers.size(); i++) {
                Client.Answer answer = client.answer();
                came.add(answer.tag() + " " + answer.word());
            }
            Collections.sort(came);
            assertEquals(came, answers);
            if (end == End.OPEN) {
                client.send("STATUS", STATUS_TAG, "");
                assertEquals(client.answer().tag(), Long.toString(STATUS_TAG));
            } else {
                assertTrue(ended(client), "still open");
            }
        }
        assertEquals(statusOf(front), "UP");
    }

    /** What was not read to the end may reset the connection. */
    private static boolean ended(Client client) throws Exception {
        try {
            return client.answer() == null;
        } catch (SocketException e) {
            return true;
        }
    }
}
