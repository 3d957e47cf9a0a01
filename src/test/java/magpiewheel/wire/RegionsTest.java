package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Three fronts of one branch, as processes, that elect a parent. */
public class RegionsTest {
    private static final int FRONTS = 3;
    private static final String ON = "{\"fleet\":{\"beat_ms\":50,\"regions\":true}}";

    private static Map<String, Long> figures(Fleet.Front front) {
        try {
            return new Operator(front.admin).figures();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static Fleet.Front front(Fleet fleet, StandInNode node, List<String> peers, int me, String app)
            throws Exception {
        InetSocketAddress at = node.address();
        String listen = peers.isEmpty()
                ? ""
                : "\"peer_listen\":\"" + peers.get(me) + "\",\"peers\":[\"" + String.join("\",\"", peers) + "\"],";
        return fleet.front(
                "n" + me,
                Fleet.config(
                        "127.0.0.1:0",
                        me,
                        FRONTS,
                        "\"mgmt\":\"127.0.0.1:0\"," + listen,
                        Fleet.node("s-00000001", at, "east", "box"),
                        Fleet.node("s-00000002", at, "central", "parent"),
                        Fleet.node("s-00000003", at, "central", "parent"),
                        Fleet.node("s-00000004", at, "central", "origin")),
                app);
    }

    /** Three fronts elect one parent and fill from it; a front without regions shows no figures on them. */
    @Test
    public void frontsAgreeOnAParentAndOthersShowNothing() throws Exception {
        try (Fleet fleet = new Fleet();
                StandInNode node = new StandInNode(
                        (line, body) -> StandInNode.done(line, "tell=filled,tag=aa,minted=1", new byte[1_000]))) {
            List<String> peers = new ArrayList<>();
            for (int i = 0; i < FRONTS; i++) {
                peers.add("127.0.0.1:" + Fleet.freePort("127.0.0.1"));
            }
            List<Fleet.Front> fronts = new ArrayList<>();
            for (int i = 0; i < FRONTS; i++) {
                fronts.add(front(fleet, node, peers, i, ON));
            }
            Fleet.until(
                    "all hold to one parent",
                    () -> fronts.stream()
                                            .map(f -> figures(f).get("gw.region_leader"))
                                            .distinct()
                                            .count()
                                    == 1
                            && figures(fronts.get(0)).get("gw.region_leader") >= 2);
            Fleet.until(
                    "it leads them",
                    () -> fronts.stream().allMatch(f -> figures(f).get("gw.region_verdict") == 0));
            try (Client client = new Client(fronts.get(1).address)) {
                for (int i = 1; i <= 200; i++) {
                    client.ask(i, "static", "%016x".formatted(i), 2_000, "");
                    assertEquals(client.answer().word(), "OK");
                }
            }
            Fleet.until("fills were led", () -> figures(fronts.get(1)).get("gw.region_led") > 0);
            Map<String, Long> off = figures(front(fleet, node, List.of(), 0, "{}"));
            assertTrue(off.keySet().stream().noneMatch(name -> name.contains("region")), off.toString());
            Fleet.Front alone = front(fleet, node, List.of(), 0, ON);
            assertTrue(
                    alone.said.stream().anyMatch(line -> line.contains("fleet.regions needs")), alone.said.toString());
            assertTrue(figures(alone).keySet().stream().noneMatch(name -> name.contains("region")));
        }
    }

    /** {@code deploy/regions.json} passes the check, and a wrong type is named by its key with exit code 2. */
    @Test
    public void theKeysAreCheckedAndTheFileThatTurnsThemOnIsInOrder() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Path file = Path.of("deploy/regions.json").toAbsolutePath();
            assertTrue(Files.readString(file).contains("\"regions\": true"));
            assertEquals(fleet.run(Map.of(), "config", "check", file.toString()).waitFor(), 0);
            Path wrong = fleet.file("wrong.json", "{\"fleet\":{\"regions\":\"yes\"}}");
            for (String[] words : new String[][] {{"config", "check", wrong.toString()}, {"serve"}}) {
                Process process = fleet.run(Map.of("MAGPIEWHEEL_APP", wrong.toString()), words);
                String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
                assertEquals(process.waitFor(), 2, said);
                assertTrue(said.lines().count() == 1 && said.contains("fleet.regions: expected true or false"), said);
            }
        }
    }
}
