package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import magpiewheel.collector.Collector;
import magpiewheel.collector.Sums;
import magpiewheel.records.FlowRecord;
import org.testng.annotations.Test;

/** The configuration tool, and the flow export as a collector sees it. */
public class SidecarTest {
    private static String run(Fleet fleet, int exit, String... words) throws Exception {
        Process process = fleet.run(Map.of(), words);
        String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(process.waitFor(), exit, said);
        return said;
    }

    /** A written configuration passes the check and is not overwritten; wrong and unknown keys are named. */
    @Test
    public void aConfigurationIsWrittenAndChecked() throws Exception {
        try (Fleet fleet = new Fleet()) {
            run(fleet, 0, "config", "write", "careers");
            Path file = fleet.folder().resolve("careers.json");
            run(fleet, 0, "config", "check", file.toString());
            assertTrue(run(fleet, 2, "config", "write", "careers").contains("does not exist yet"));
            String spoilt = Files.readString(file)
                    .replace("\"clients\": 349", "\"clients\": 0, \"colour\": 1")
                    .replace("127.0.0.1:4739", "collector")
                    .replace("routes.example", "-x-")
                    .replace(
                            "\"pins\": {\n    \"enabled\": false", "\"pins\": {\n    \"enabled\": 1, \"strict\": true");
            String said = run(
                    fleet,
                    2,
                    "config",
                    "check",
                    fleet.file("spoilt.json", spoilt).toString());
            assertEquals(said.lines().count(), 6, said);
            for (String key : new String[] {
                "front.clients: expected",
                "front.colour: expected no such key",
                "flows.collector: expected",
                "dns.zone: expected",
                "pins.enabled: expected",
                "pins.strict: expected no such key"
            }) {
                assertTrue(said.contains(key), said);
            }
            assertTrue(run(fleet, 2, "config", "check", "absent.json").contains("absent.json"));
            assertTrue(run(fleet, 2, "config").startsWith("usage"));
        }
    }

    /** {@code deploy/dns.json} passes the check with every optional part off; {@code deploy/pins.json} passes, too. */
    @Test
    public void theCheckedInConfigurationIsInOrderAndOff() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Path file = Path.of("deploy/dns.json").toAbsolutePath();
            run(fleet, 0, "config", "check", file.toString());
            assertEquals(Files.readString(file).split("\"enabled\": false").length, 3);
            run(
                    fleet,
                    0,
                    "config",
                    "check",
                    Path.of("deploy/pins.json").toAbsolutePath().toString());
        }
    }

    /** What a collector adds up is what clients were sent and caches said they filled, to the octet. */
    @Test
    public void flowsAddUpToTheBytesThatWereSent() throws Exception {
        Sums sums = new Sums();
        List<String> refused = new CopyOnWriteArrayList<>();
        try (Fleet fleet = new Fleet();
                Collector collector = new Collector(
                        new InetSocketAddress("127.0.0.1", 0), 32_473, sums::add, (from, why) -> refused.add(why));
                StandInNode cache = new StandInNode((line, body) -> line.contains("item=0000000000000006")
                        ? StandInNode.word(line, "WAIT")
                        : StandInNode.done(
                                line,
                                line.contains("item=0000000000000005")
                                        ? "tell=filled,tag=aa,minted=1"
                                        : "tell=hit,tag=aa,minted=1",
                                new byte[10_234]))) {
            Fleet.Front front = fleet.front(
                    "n0",
                    Fleet.config(
                            "127.0.0.1:0",
                            0,
                            1,
                            "",
                            Fleet.node("s-00000001", cache.address(), "east", "box"),
                            Fleet.node("s-00000002", cache.address(), "central", "origin")),
                    "{\"flows\":{\"enabled\":true,\"collector\":" + "\"udp:127.0.0.1:"
                            + collector.address().getPort() + "\",\"domain\":77,\"template_ms\":100}}");
            long octets = 0;
            int fills = 0;
            int turnedAway = 0;
            try (Client client = new Client(front.address)) {
                for (int tag = 1; tag <= 60; tag++) {
                    String object = "000000000000000" + (5 + tag % 3);
                    client.ask(tag, "static", object, 2_000, "");
                    Client.Answer answer = client.answer();
                    String head = "*4\r\n$" + answer.tag().length() + "\r\n" + answer.tag() + "\r\n$"
                            + answer.word().length()
                            + "\r\n" + answer.word() + "\r\n$" + answer.fields().length() + "\r\n" + answer.fields()
                            + "\r\n$"
                            + answer.body().length + "\r\n\r\n";
                    octets += head.length() + answer.body().length;
                    fills += answer.word().equals("OK") && tag % 3 == 0 ? 1 : 0;
                    turnedAway += answer.word().equals("OK") ? 0 : 1;
                }
            }
            long allOctets = octets;
            Fleet.until("60 sends", () -> sums.of(FlowRecord.Kind.SEND).flows() == 60);
            assertEquals(sums.of(FlowRecord.Kind.SEND).octets(), allOctets);
            long filled = fills;
            Fleet.until("fills", () -> sums.of(FlowRecord.Kind.FILL).flows() == filled);
            assertEquals(sums.of(FlowRecord.Kind.FILL).octets(), filled * 10_234);
            assertEquals(turnedAway, 20);
            assertTrue(sums.of(FlowRecord.Kind.FAILED_ATTEMPT).flows() >= 20);
            assertEquals(sums.missing(), 0);
            assertEquals(refused, List.of());
        }
    }

    /**
     * {@code flows collect} prints records that can be read, names the offset of what can't, and refuses a bad address.
     */
    @Test
    public void theToolPrintsRecordsAndRefusesABadCall() throws Exception {
        try (Fleet fleet = new Fleet()) {
            assertTrue(run(fleet, 2, "flows", "collect", "nowhere").contains("ADDRESS: expected an IPv4 address"));
            Process tool = fleet.run(
                    Map.of(),
                    List.of("sh", "-c", "exec \"$@\"", "sh"),
                    "flows",
                    "collect",
                    "127.0.0.1:0",
                    "--messages",
                    "2");
            BufferedReader said = tool.errorReader();
            String at = said.readLine();
            int port = Integer.parseInt(at.substring(at.lastIndexOf(':') + 1));
            try (DatagramSocket exporter = new DatagramSocket()) {
                byte[] bad = {0, 9, 0, 4};
                byte[] message = HexFormat.of()
                        .parseHex("000a00386500000000000000" + "0000004d00020014010000020191000880"
                                + "03ffff00007ed9010000140000000000000400046561737400" + "0000");
                InetAddress loopback = InetAddress.getByName("127.0.0.1");
                for (byte[] each : new byte[][] {bad, message, message}) {
                    exporter.send(new DatagramPacket(each, each.length, loopback, port));
                }
            }
            String out = new String(tool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(tool.waitFor(), 0);
            assertEquals(out.lines().count(), 2, out);
            assertTrue(out.contains("\"transportOctetDeltaCount\":1024,\"magpiewheelBranch\":\"east\""), out);
            assertTrue(said.readLine().contains("offset 4"), "the bad one is named");
        }
    }
}
