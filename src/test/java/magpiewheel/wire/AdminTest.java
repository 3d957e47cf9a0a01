package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What operators ask of a front, and clients that are sent away. */
public class AdminTest extends OneFront {
    private Operator operator;

    @Override
    String more() {
        return "\"mgmt\":\"127.0.0.1:0\",";
    }

    /** The log names their address before the front; both lines were read by then or are still to come. */
    @BeforeMethod(dependsOnMethods = "start")
    void findOperators() throws Exception {
        operator = new Operator(front.admin);
    }

    /** Each end counts once under its class, also one that the front itself decided on; attempts count as written. */
    @Test
    public void theFiguresAreTrue() throws Exception {
        assertTrue(operator.yes("GET", "/admin/health"));
        for (int tag = 1; tag <= 5; tag++) {
            client.ask(tag, "static", "000000000000000" + tag, Client.PATIENT_MS, "");
            assertEquals(client.answer().word(), "OK");
        }
        client.send("ASK", 6, "static", "trace=1", "");
        assertEquals(client.answer().word(), "FAILED");
        client.ask(7, "video", "0000000000000005", 1, "");
        assertFalse(client.answer().word().equals("OK"));
        cache.script((line, body) -> null);
        int before = cache.lines.size();
        client.ask(8, "video", "0000000000000008", 4_000, "");
        Fleet.until("it is at the node", () -> cache.lines.size() > before);
        Fleet.until("the list is counted", () -> {
            try {
                return operator.figures().get("gw.hosts_listed") == 2;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        Map<String, Long> figures = operator.figures();
        assertEquals(figures.get("gw.success.static"), Long.valueOf(5));
        assertEquals(figures.get("gw.failure.static"), Long.valueOf(1));
        assertEquals(figures.get("gw.busy.video") + figures.get("gw.failure.video"), 1);
        assertEquals(figures.get("gw.inflight"), Long.valueOf(1));
        assertEquals(figures.get("gw.hosts_down"), Long.valueOf(0));
        assertEquals(figures.get("gw.backend_calls").intValue(), cache.lines.size() + origin.lines.size());
    }

    /** Unknown paths, wrong methods and malformed calls get a 4xx answer, and clients are served on. */
    @Test
    public void whatIsNoCallIsAnsweredNo() throws Exception {
        assertTrue(operator.call("GET", "/admin/other").startsWith("HTTP/1.1 404"));
        assertTrue(operator.call("GET", "/admin/quiesce").startsWith("HTTP/1.1 405"));
        assertTrue(operator.raw("nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
        assertTrue(operator.raw("POST /admin/resume HTTP/1.1\r\nContent-Length: 3000000000\r\n\r\n")
                .startsWith("HTTP/1.1 4"));
        client.send("STATUS", 1, "");
        assertEquals(client.answer().word(), "UP", "none of it was an order");
    }

    /**
     * A call that is turned down while its caller still writes the body: closed at once, the connection would be reset
     * under the caller, and the answer could be lost with it.
     */
    @Test
    public void aCallerMayWriteItsBodyToTheEndAfterTheAnswer() throws Exception {
        byte[] kilobyte = new byte[1_024];
        try (Socket socket = operator.connect()) {
            OutputStream out = socket.getOutputStream();
            out.write("POST /admin/resume HTTP/1.1\r\nContent-Length: 131072\r\n\r\n".getBytes());
            int first = socket.getInputStream().read();
            for (int i = 0; i < 128; i++) {
                out.write(kilobyte);
            }
            socket.shutdownOutput();
            String rest = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertEquals(first, 'H');
            assertTrue(rest.startsWith("TTP/1.1 413"), rest);
            assertTrue(rest.endsWith("\r\n\r\nContent Too Large\n"), rest);
        }
    }

    /** More callers than places, none with a whole call: the next one must not wait for them. */
    @Test
    public void halfCallsHoldUpNobody() throws Exception {
        Tries.atMost(1_000, "a call beside 60 half ones took ms", () -> {
            List<Socket> halves = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                halves.add(operator.connect());
                halves.get(i).getOutputStream().write("GET /admin/he".getBytes());
            }
            long from = System.nanoTime();
            assertTrue(operator.yes("GET", "/admin/health"));
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            for (Socket half : halves) {
                half.close();
            }
            return tookMs;
        });
    }

    /**
     * 4 s after the call no client may be held: idle ones go, work in hand is finished first, then the client comes
     * back.
     */
    @Test
    public void clientsAreSentAwayAndTakenAgain() throws Exception {
        cache.script((line, body) -> null);
        try (Client busy = new Client(front.address);
                Client idle = new Client(front.address)) {
            idle.send("STATUS", 1, "");
            assertEquals(idle.answer().word(), "UP");
            busy.ask(1, "video", "0000000000000005", 3_500, "");
            assertTrue(cache.lines.poll(Fleet.WAIT_MS, TimeUnit.MILLISECONDS).startsWith("serve"));
            assertTrue(operator.yes("POST", "/admin/quiesce"));
            long from = System.nanoTime();
            busy.send("STATUS", 2, "");
            assertEquals(busy.answer().word(), "DOWN");
            assertTrue(operator.yes("GET", "/admin/health"), "it still serves what it has");
            assertNull(idle.answer());
            assertTrue(
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) < 6_000,
                    "an idle one would go after 10 s anyway");
            Thread.sleep(Math.max(0, 1_900 - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from)));
            busy.ask(3, "video", "0000000000000006", 2_000, "");
            Client.Answer late = busy.answer();
            assertEquals(late.tag() + " " + late.word(), "3 BUSY", "nothing new on a connection that is to go");
            assertTrue(late.fields().startsWith("pause="));
            assertEquals(busy.answer().tag(), "1", "what was in hand gets its answer");
            from = System.nanoTime();
            assertNull(busy.answer());
            assertTrue(
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) < 6_000, "it would go after 10 s anyway");
        }
        assertTrue(operator.yes("POST", "/admin/resume"));
        cache.script((line, body) -> StandInNode.done(line, HIT, BODY));
        try (Client again = new Client(front.address)) {
            again.send("STATUS", 1, "");
            assertEquals(again.answer().word(), "UP");
            again.ask(2, "video", "0000000000000007", Client.PATIENT_MS, "");
            assertEquals(again.answer().word(), "OK");
        }
    }

    /**
     * Seen as a lost request: the end of the stream waited behind answers not read yet, and what came then was dropped.
     */
    @Test
    public void noLeaveIsTakenOfAClientThatHasYetToRead() throws Exception {
        for (int tries = 0; ; tries++) {
            assertTrue(tries < 20, "the machine was never quick enough");
            long before = figure("gw.success.video");
            try (Client slow = new Client(front.address)) {
                assertTrue(operator.yes("POST", "/admin/quiesce"));
                long from = System.nanoTime();
                for (int tag = 1; tag <= 5; tag++) {
                    slow.ask(tag, "video", "000000000000000" + tag, 4_000, "");
                }
                Fleet.until(
                        "all is written", () -> figure("gw.success.video") >= before + 5 && figure("gw.inflight") == 0);
                // 0.5 s after the call leave is taken of clients; this one is thought to read for 1 s, for 1 us an
                // octet.
                TimeUnit.NANOSECONDS.sleep(from + TimeUnit.MILLISECONDS.toNanos(600) - System.nanoTime());
                slow.ask(9, "video", "0000000000000009", 4_000, "");
                boolean inTime = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from) < 800;
                for (int i = 0; inTime && i < 6; i++) {
                    assertTrue(slow.answer() != null, "an answer for each, and the end behind them");
                }
                if (inTime) {
                    assertNull(slow.answer());
                    return;
                }
            } catch (SocketException e) {
                // Too late, on a busy machine: it had been left.
                assertTrue(tries < 19, "" + e);
            }
            assertTrue(operator.yes("POST", "/admin/resume"));
        }
    }

    private long figure(String name) {
        try {
            return operator.figures().get(name);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** A process may be killed 3.7 s after SIGTERM: what came behind the signal and has no answer then is lost. */
    @Test
    public void whatIsTakenAfterSigtermIsAnsweredBeforeTheKill() throws Exception {
        atMost(3_700, "taken 900 ms after SIGTERM, answered after ms of it", () -> {
            cache.script((line, body) -> null);
            origin.script((line, body) -> null);
            client.ask(1, "video", "0000000000000005", 6_000, "");
            Fleet.until("it is at the node", () -> !cache.lines.isEmpty());
            long from = System.nanoTime();
            front.process.destroy();
            Thread.sleep(900);
            client.ask(2, "video", "0000000000000006", 6_000, "");
            assertEquals(client.answer().tag(), "2", "the first has all its time");
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            assertEquals(client.answer().tag(), "1");
            return tookMs;
        });
    }
}
