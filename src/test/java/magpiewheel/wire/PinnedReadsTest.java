package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import magpiewheel.fabric.StandInBoard;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Reads with hints, as a client and the nodes see them. */
public class PinnedReadsTest extends OneFront {
    private static final String ON = "{\"pins\":{\"enabled\":true}}";
    private static final String LISTING = "0000000000000005";
    private static final byte[] SHORT = Arrays.copyOf(BODY, 3_000);
    private static final long OLD_MS = 10_000;
    private static final long CUT_PAUSE_MS = 1_000;
    private final AtomicLong tags = new AtomicLong(1_000);
    private StandInBoard board;
    /** When the origin gave out the copy that the cache holds. */
    private volatile long held;

    @Override
    String more() throws Exception {
        board = new StandInBoard();
        return "\"board\":\"127.0.0.1:" + board.address().getPort() + "\",";
    }

    @Override
    String app() {
        return ON;
    }

    @AfterMethod(alwaysRun = true)
    void closeBoard() throws Exception {
        board.close();
    }

    private static byte[] copy(String line, String tell, long minted) {
        return StandInNode.done(line, "tell=" + tell + ",tag=aa11,minted=" + minted, SHORT);
    }

    /**
     * A cache that holds an old copy, and fills anew what is older than the line allows; an origin of the same clock.
     */
    private void soundNodes() {
        held = System.currentTimeMillis() - OLD_MS;
        cache.script((line, body) -> {
            long fresh = number(line, "fresh");
            boolean hit = held > 0 && (fresh < 0 || System.currentTimeMillis() - held <= fresh);
            if (!hit && !line.contains(",via=")) {
                return StandInNode.word(line, "LACK");
            }
            held = hit ? held : System.currentTimeMillis();
            return copy(line, hit ? "hit" : "via_origin", held);
        });
        origin.script((line, body) -> copy(line, "via_origin", System.currentTimeMillis()));
    }

    /** Nodes that all hold the same old copy, and give it whatever they are asked. */
    private void oldNodes() {
        held = System.currentTimeMillis() - OLD_MS;
        cache.script((line, body) -> copy(line, "hit", held));
        origin.script((line, body) -> copy(line, "filled", held));
    }

    private static long number(String text, String name) {
        Matcher matcher = Pattern.compile("(?:^|[ ,])" + name + "=([0-9]+)").matcher(text);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /** On a connection of its own: on a busy machine one may be unused for so long that the front closes it. */
    private Client.Answer ask(String name, String more) throws Exception {
        try (Client one = new Client(front.address)) {
            one.ask((int) tags.incrementAndGet(), name, LISTING, Client.PATIENT_MS, more);
            return one.answer();
        }
    }

    private Client.Answer read(String hint) throws Exception {
        return ask("static", hint.isEmpty() ? "" : ",hint=" + hint);
    }

    private Client.Answer write() throws Exception {
        return ask("apply", ",nonce=5c");
    }

    /** Strict reads are proven only once the board was heard for a while. */
    private Client.Answer served(String hint) {
        return Awaitility.await()
                .atMost(Duration.ofMillis(Fleet.WAIT_MS))
                .until(() -> read(hint), answer -> answer.word().equals("OK"));
    }

    /** After a write, a strict read behind its mark is served a copy at least as new, soon also by the cache. */
    @Test
    public void aClientReadsItsOwnWrite() throws Exception {
        soundNodes();
        assertEquals(number(read("").fields(), "mark"), held, "a read without a hint brings its mark");
        long mark = number(write().fields(), "mark");
        assertTrue(mark > held + OLD_MS / 2, "the write's mark is the origin's time: " + mark);
        Client.Answer own = served("after:" + mark + "+strict");
        assertTrue(number(own.fields(), "mark") >= mark, own.fields());
        assertEquals(own.body(), SHORT);
        assertEquals(number(own.fields(), "aged"), -1);
        cache.lines.clear();
        served("after:" + mark + "+strict");
        String line = cache.lines.take();
        assertTrue(number(line, "fresh") > 0 && !line.contains("update"), line);
    }

    /**
     * The first strict read goes to the origin itself, whose answer tells its clock; no copy older than asked for is
     * taken.
     */
    @Test
    public void aStalenessIsKept() throws Exception {
        soundNodes();
        long start = System.currentTimeMillis();
        Client.Answer first = served("at_most:1500+strict");
        assertTrue(number(first.fields(), "mark") >= start, first.fields());
        assertEquals(number(first.fields(), "aged"), -1);
        String line = cache.lines.take();
        assertTrue(number(line, "fresh") <= 1 && !line.contains("update"), line);
        held = System.currentTimeMillis() - OLD_MS;
        long before = System.currentTimeMillis();
        Client.Answer young = served("at_most:1500+strict");
        assertEquals(number(young.fields(), "aged"), -1);
        assertTrue(number(young.fields(), "mark") >= before - 1_500, young.fields());
        assertEquals(held, number(young.fields(), "mark"), "the cache was filled anew");
    }

    /**
     * Nodes that give an old copy all the same are asked twice at most; the client gets a pause and nothing of the
     * copy.
     */
    @Test
    public void aStrictReadIsRefusedWhereNobodyHasWhatItAsksFor() throws Exception {
        soundNodes();
        long mark = number(write().fields(), "mark");
        served("after:" + mark + "+strict");
        oldNodes();
        cache.lines.clear();
        origin.lines.clear();
        String before = counters(client);
        Client.Answer none = read("after:" + mark + "+strict");
        assertEquals(none.word(), "BUSY");
        assertTrue(number(none.fields(), "pause") > 0, none.fields());
        assertEquals(none.body().length, 0);
        assertEquals(cache.lines.size() + " " + origin.lines.size(), "1 1");
        assertEquals(number(counters(client), "refused_by_hint"), number(before, "refused_by_hint") + 1);
    }

    /** A preferred bound that no copy keeps to is answered with the old copy and its age. */
    @Test
    public void aPreferredReadIsServedWithItsAge() throws Exception {
        soundNodes();
        long mark = number(write().fields(), "mark");
        oldNodes();
        assertTrue(read("after:" + mark).fields().endsWith(",aged=-1"), "no clock is known yet");
        soundNodes();
        held = 0;
        read("");
        oldNodes();
        Client.Answer old = read("after:" + mark);
        assertEquals(old.word(), "OK");
        assertEquals(old.body(), SHORT);
        assertEquals(number(old.fields(), "mark"), held);
        assertTrue(number(old.fields(), "aged") >= OLD_MS, old.fields());
        assertEquals(number(counters(client), "aged"), 2);
        assertEquals(number(counters(client), "hinted"), 2);
    }

    /** One clear sentence, as the body of a failure, and nothing goes out. */
    @Test
    public void aHintThatContradictsItselfGetsOneClearError() throws Exception {
        Client.Answer wrong = read("after:17+strict+prefer");
        assertEquals(wrong.word() + " " + wrong.fields(), "FAILED error=hint");
        assertTrue(new String(wrong.body()).matches("[A-Z][^\r\n]+\\."), new String(wrong.body()));
        assertEquals(read("at_most:99999999999").word(), "FAILED");
        client.ask(1, "static", LISTING, Client.PATIENT_MS, ",hint=after:x");
        client.ask(2, "static", LISTING, Client.PATIENT_MS, "");
        assertEquals(
                client.answer().tag() + client.answer().tag(), "12", "one answer each, and the connection goes on");
        assertEquals(cache.lines.size() + origin.lines.size(), 1);
    }

    /**
     * Cut off from its board, with the pause that says so, a front knows of no purge: what it can't prove it does not
     * try.
     */
    @Test
    public void withoutTheBoardAStrictReadIsRefusedAtOnceAndNothingIsSent() throws Exception {
        soundNodes();
        Fleet.Front alone = fleet.front("n1", Fleet.config("127.0.0.1:0", 0, 1, "", nodes()), ON);
        Awaitility.await()
                .atMost(Duration.ofMillis(Fleet.WAIT_MS))
                .until(
                        () -> readAt(alone, "after:5+strict"),
                        answer -> answer.word().equals("BUSY") && number(answer.fields(), "pause") == CUT_PAUSE_MS);
        cache.lines.clear();
        origin.lines.clear();
        assertEquals(readAt(alone, "after:5+strict").word(), "BUSY");
        assertEquals(cache.lines.size() + origin.lines.size(), 0);
        assertEquals(readAt(alone, "after:5").word(), "OK");
    }

    private Client.Answer readAt(Fleet.Front at, String hint) throws Exception {
        try (Client one = new Client(at.address)) {
            one.ask((int) tags.incrementAndGet(), "static", LISTING, Client.PATIENT_MS, ",hint=" + hint);
            return one.answer();
        }
    }

    /** Off, the field is passed over whatever stands in it, and neither answers nor lines to nodes change. */
    @Test
    public void offMeansOff() throws Exception {
        soundNodes();
        Fleet.Front off = fleet.front("n2", Fleet.config("127.0.0.1:0", 0, 1, "", nodes()), OFF);
        try (Client other = new Client(off.address)) {
            other.ask(1, "static", LISTING, Client.PATIENT_MS, "");
            assertEquals(other.answer().word(), "OK");
            // From its second request on an object is kept at a higher rank.
            assertTrue(cache.lines.take().contains("tier=1"));
            String[] hints = {"", ",hint=after:9999999999999+strict", ",hint=strict+prefer", ",hint=?"};
            String[] seen = new String[hints.length];
            for (int i = 0; i < hints.length; i++) {
                other.ask(7 + i, "static", LISTING, Client.PATIENT_MS, hints[i]);
                Client.Answer answer = other.answer();
                seen[i] = answer.word() + " " + answer.fields() + " " + Arrays.hashCode(answer.body()) + " "
                        + cache.lines.take().replaceAll("serve [0-9a-f]+ ", "").replaceAll(",limit=[0-9]+", "");
                assertEquals(seen[i], seen[0]);
            }
            assertTrue(seen[0].startsWith("OK ver=aa11 "), seen[0]);
            String counted = counters(other);
            assertTrue(counted.contains(",hinted=0,refused_by_hint=0,aged=0,"), counted);
        }
    }
}
