package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Nodes whose answers arrive spoilt. */
public class RoughTest extends OneFront {
    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] joined(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        Arrays.stream(parts).forEach(all::writeBytes);
        return all.toByteArray();
    }

    /** Each is followed by the end of the line, so that the node keeps the connection open. */
    @DataProvider
    Object[][] spoilt() {
        return new Object[][] {
            {"ID DONE - \r\n"},
            {"ID DONE - 52\r\n" + "x".repeat(52) + "\r\n"},
            {"ID DONE tell=hit 0\r\n\r\n"},
            {"ID DONE " + HIT + " 10\r\n" + "x".repeat(20) + "\r\n"},
            {"ID DONE " + HIT + " 3000000000\r\n"},
            {"ID KEEP " + HIT + " 0\r\n"},
            {"\u0001\u00ff noise\r\n"},
            {"x".repeat(5_000) + "\r\n"},
            {"ID DONE " + HIT + " 0\n"}
        };
    }

    /** Not passed on, not held against the node: the holder is asked again on a connection of its own. */
    @Test(dataProvider = "spoilt")
    public void aSpoiltAnswerIsNeverServedAndTheHolderAskedAgain(String answer) throws Exception {
        cache.script((line, body) -> {
            cache.script((again, none) -> StandInNode.done(again, HIT, BODY));
            return text(answer.replace("ID", line.split(" ")[1]));
        });
        client.ask(1, "video", "0000000000000005", 3000, "");
        Client.Answer got = client.answer();
        assertEquals(got.word(), "OK");
        assertEquals(got.body(), BODY);
        assertEquals(cache.lines.size() + " " + origin.lines.size(), "2 0");
        assertTrue(counters(client).contains("spoilt=1,"));
    }

    /** What is not the answer that is waited for neither passes for it nor leaves the connection in use. */
    @Test
    public void strayAnswersMatchNothingAndEndTheirConnection() throws Exception {
        byte[] stray = new byte[1_000];
        cache.script((line, body) -> joined(
                text("00000000000000ff DONE " + HIT + " 1000\r\n"),
                stray,
                text("\r\n"),
                StandInNode.done(line, HIT, BODY)));
        client.ask(1, "video", "0000000000000005", 3000, "");
        assertEquals(client.answer().body(), BODY, "an unknown id ahead");
        cache.script((line, body) -> joined(StandInNode.done(line, HIT, BODY), StandInNode.done(line, HIT, stray)));
        client.ask(2, "video", "0000000000000005", 3000, "");
        assertEquals(client.answer().body(), BODY, "a second copy behind");
        cache.script((line, body) -> StandInNode.done(line, HIT, BODY));
        client.ask(3, "video", "0000000000000005", 3000, "");
        assertEquals(client.answer().body(), BODY);
        assertTrue(counters(client).contains("dials=3,"), "none of the two connections was used again");
        client.ask(4, "video", "0000000000000005", 3000, "");
        assertEquals(client.answer().body(), BODY);
        assertTrue(counters(client).contains("dials=3,"), "one in step is used again");
    }

    /** A second copy that comes late would else be taken for the answer to the next try of the same request. */
    @Test
    public void aConnectionThatCarriedATryNeverCarriesTheNextOne() throws Exception {
        cache.script((line, body) -> {
            cache.script((again, none) -> StandInNode.done(again, HIT, BODY));
            return StandInNode.word(line, "LACK");
        });
        client.ask(1, "video", "0000000000000005", 3000, "");
        assertEquals(client.answer().word(), "OK");
        assertFalse(counters(client).contains("dials=1,"));
        assertEquals(cache.lines.size(), 2);
        assertEquals(cache.lines.poll(Fleet.WAIT_MS, TimeUnit.MILLISECONDS).substring(0, 22), "serve 0000000000000001");
    }
}
