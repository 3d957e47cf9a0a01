package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A new version under load: two processes behind one listener, which neither of them has bound. */
public class UpgradeTest {
    /**
     * A second process takes the listener over while clients go on asking: each request is answered by one of the two.
     */
    @Test
    public void theNextProcessTakesOverAndNobodyIsTurnedAway() throws Exception {
        try (Fleet fleet = new Fleet();
                StandInNode cache =
                        new StandInNode((line, body) -> StandInNode.done(line, OneFront.HIT, new byte[9_000]));
                StandInNode origin = new StandInNode((line, body) -> null)) {
            String config = Fleet.config(
                    "127.0.0.1:0",
                    0,
                    1,
                    "\"mgmt\":\"127.0.0.1:0\",\"peer_listen\":\"127.0.0.1:" + Fleet.freePort("127.0.0.1") + "\",",
                    Fleet.node("s-00000001", cache.address(), "east", "box"),
                    Fleet.node("s-f0000009", origin.address(), "central", "origin"));
            Process platform = fleet.run(
                    Map.of(
                            "GW_CONFIG",
                            fleet.file("n0.json", config).toString(),
                            "GW_SOCKET_FD",
                            "0",
                            "MAGPIEWHEEL_APP",
                            fleet.file("app.json", "{}").toString()),
                    List.of("perl", "-e", TerminationRig.PLATFORM),
                    "serve");
            Fleet.Front both = new Fleet.Front(platform);
            try (BufferedReader pids = platform.inputReader()) {
                ProcessHandle old = next(platform, pids);
                Operator first = new Operator(both.awaitAddress("operators at"));
                both.address = both.awaitAddress("listens at");
                Fleet.until("the first serves", () -> serves(first));
                try (Client kept = new Client(both.address);
                        Client idle = new Client(both.address)) {
                    ask(idle, 1);
                    ask(kept, 2);
                    next(platform, pids);
                    Operator second = new Operator(both.awaitAddress("operators at"));
                    Fleet.until("the second serves", () -> serves(second));
                    cache.script((line, body) -> {
                        cache.script((other, none) -> StandInNode.done(other, OneFront.HIT, new byte[9_000]));
                        return null;
                    });
                    kept.ask(3, "video", "0000000000000003", 1_500, "");
                    Fleet.until("it is at the node", () -> cache.lines.size() == 3);
                    old.destroy();
                    for (int tag = 10; tag < 40; tag++) {
                        try (Client newcomer = new Client(both.address)) {
                            ask(newcomer, tag);
                        }
                    }
                    assertNull(idle.answer(), "it is sent to the next process");
                    assertEquals(kept.answer().tag(), "3", "what was taken is finished");
                    assertNull(kept.answer());
                    old.onExit().get(Fleet.WAIT_MS, TimeUnit.MILLISECONDS);
                    try (Client newcomer = new Client(both.address)) {
                        ask(newcomer, 50);
                    }
                    assertTrue(second.figures().get("gw.success.video") >= 1);
                }
            }
        }
    }

    /** The platform hands on descriptor 0 and no other. */
    @Test
    public void anotherDescriptorIsNamedInOneLine() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Process process = fleet.run(
                    Map.of(
                            "GW_CONFIG",
                            fleet.file(
                                            "n0.json",
                                            Fleet.config(
                                                    "127.0.0.1:0",
                                                    0,
                                                    1,
                                                    "",
                                                    Fleet.node(
                                                            "s-00000001",
                                                            new InetSocketAddress("127.0.0.1", 1),
                                                            "east",
                                                            "box")))
                                    .toString(),
                            "GW_SOCKET_FD",
                            "7",
                            "MAGPIEWHEEL_APP",
                            fleet.file("app.json", "{}").toString()),
                    "serve");
            try (BufferedReader log = process.errorReader()) {
                assertTrue(log.readLine().contains("GW_SOCKET_FD: expected 0, got 7"));
            }
            assertEquals(process.waitFor(), 2);
        }
    }

    /** A listener that is taken already is no planned end. */
    @Test
    public void anAddressInUseEndsWithAnExitCode() throws Exception {
        try (Fleet fleet = new Fleet();
                ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Process process = fleet.run(
                    Map.of(
                            "GW_CONFIG",
                            fleet.file(
                                            "n0.json",
                                            Fleet.config(
                                                    "127.0.0.1:" + taken.getLocalPort(),
                                                    0,
                                                    1,
                                                    "",
                                                    Fleet.node(
                                                            "s-00000001",
                                                            new InetSocketAddress("127.0.0.1", 1),
                                                            "east",
                                                            "box")))
                                    .toString(),
                            "MAGPIEWHEEL_APP",
                            fleet.file("app.json", "{}").toString()),
                    "serve");
            assertEquals(process.waitFor(), 1);
        }
    }

    private static ProcessHandle next(Process platform, BufferedReader pids) throws IOException {
        platform.getOutputStream().write('\n');
        platform.getOutputStream().flush();
        return ProcessHandle.of(Long.parseLong(pids.readLine())).orElseThrow();
    }

    private static boolean serves(Operator operator) {
        try {
            return operator.yes("GET", "/admin/health");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static void ask(Client client, int tag) throws IOException {
        client.ask(tag, "video", "0000000000000003", 2_000, "");
        assertEquals(client.answer().word(), "OK");
    }
}
