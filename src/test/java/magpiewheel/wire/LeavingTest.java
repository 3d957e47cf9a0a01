package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients that leave while the connection to the cache comes up late, at a place that allows no cancels. */
public class LeavingTest extends OneFront {
    /** us; much longer than a machine takes to try again where it was not let in: one second, then two more. */
    private static final int DIAL_US = 60_000_000;

    /** A client that can end its connection in every way. */
    private enum Leaving {
        TAKES_BACK,
        CLOSES,
        RESETS
    }

    @DataProvider
    Object[][] leaving() {
        return new Object[][] {{Leaving.TAKES_BACK}, {Leaving.CLOSES}, {Leaving.RESETS}};
    }

    /** Nobody accepts at the listener, and its queue is full: further connections come up once it is not. */
    private static List<Socket> full(ServerSocket listener) throws IOException {
        List<Socket> fillers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            fillers.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
        return fillers;
    }

    private String config(InetSocketAddress late) {
        return Fleet.config(
                        "127.0.0.1:0",
                        0,
                        1,
                        "",
                        Fleet.node("s-00000001", late, "east", "box"),
                        Fleet.node("s-f0000009", origin.address(), "central", "origin"))
                .replace("\"dial_timeout_us\":400000", "\"dial_timeout_us\":" + DIAL_US)
                .replace("\"cancel\":true", "\"cancel\":false");
    }

    /** The client leaves while the connection to the cache is still coming up. */
    @Test(dataProvider = "leaving")
    public void aRequestWhoseConnectionComesUpLateIsNotSentForAClientThatLeft(Leaving how) throws Exception {
        try (ServerSocket late = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            late.setSoTimeout((int) Fleet.WAIT_MS);
            List<Socket> fillers = full(late);
            Fleet.Front slow = fleet.front("n9", config((InetSocketAddress) late.getLocalSocketAddress()), OFF);
            Client leaves = new Client(slow.address);
            try (Client stays = new Client(slow.address)) {
                leaves.ask(1, "video", "0000000000000005", Client.PATIENT_MS, "");
                awaitCounter(stays, "dials=1");
                switch (how) {
                    case TAKES_BACK -> leaves.send("NEVERMIND", 1);
                    case CLOSES -> leaves.close();
                    default -> leaves.reset();
                }
                awaitCounter(stays, "given_up_by_client=1");
                for (int i = 0; i < fillers.size(); i++) {
                    late.accept().close();
                }
                try (Socket up = late.accept()) {
                    // No other comes up: the next request goes over this one, or is taken over by it.
                    fillers.addAll(full(late));
                    stays.ask(2, "video", "0000000000000006", Client.PATIENT_MS, "");
                    BufferedReader in =
                            new BufferedReader(new InputStreamReader(up.getInputStream(), StandardCharsets.ISO_8859_1));
                    String line = in.readLine();
                    assertTrue(line.startsWith("serve 0000000000000002 "), line);
                    up.getOutputStream().write(StandInNode.done(line, HIT, BODY));
                    assertEquals(stays.answer().tag(), "2");
                }
            }
            leaves.close();
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }
}
