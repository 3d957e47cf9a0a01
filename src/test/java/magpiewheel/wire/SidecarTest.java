package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.testng.annotations.Test;

/** The configuration tool, and the flow export as a collector sees it. */
public class SidecarTest {
    private static String run(Fleet fleet, int exit, String... words) throws Exception {
        Process process = fleet.run(Map.of(), words);
        String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(process.waitFor(), exit, said);
        return said;
    }

    @Test
    public void aConfigurationIsWrittenAndChecked() throws Exception {
        try (Fleet fleet = new Fleet()) {
            run(fleet, 0, "config", "write", "careers");
            Path file = fleet.folder().resolve("careers.json");
            run(fleet, 0, "config", "check", file.toString());
            assertTrue(run(fleet, 2, "config", "write", "careers").contains("does not exist yet"));
            String spoilt = Files.readString(file).replace("\"clients\": 349", "\"clients\": 0, \"colour\": 1")
                    .replace("127.0.0.1:4739", "collector").replace("routes.example", "-x-");
            String said = run(fleet, 2, "config", "check", fleet.file("spoilt.json", spoilt).toString());
            assertEquals(said.lines().count(), 4, said);
            for (String key : new String[] {"front.clients: expected", "front.colour: expected no such key",
                "flows.collector: expected", "dns.zone: expected"}) {
                assertTrue(said.contains(key), said);
            }
            assertTrue(run(fleet, 2, "config", "check", "absent.json").contains("absent.json"));
            assertTrue(run(fleet, 2, "config").startsWith("usage"));
        }
    }

    @Test
    public void theCheckedInConfigurationIsInOrderAndOff() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Path file = Path.of("deploy/dns.json").toAbsolutePath();
            run(fleet, 0, "config", "check", file.toString());
            assertEquals(Files.readString(file).split("\"enabled\": false").length, 3);
        }
    }

    @Test
    public void aCollectorCanDecodeTheFlows() throws Exception {
        try (Fleet fleet = new Fleet(); DatagramSocket collector = new DatagramSocket(0,
                InetAddress.getByName("127.0.0.1"));
                StandInNode cache = new StandInNode((line, body) -> StandInNode.done(line, "tell=hit,tag=aa,minted=1", new byte[1_234]))) {
            collector.setSoTimeout((int) Fleet.WAIT_MS);
            Fleet.Front front = fleet.front("n0", Fleet.config("127.0.0.1:0", 0, 1, "",
                    Fleet.node("s-00000001", cache.address(), "east", "box"),
                    Fleet.node("s-00000002", cache.address(), "central", "origin")), "{\"flows\":{\"enabled\":true,\"collector\":"
                    + "\"127.0.0.1:" + collector.getLocalPort() + "\",\"domain\":77,\"template_ms\":100}}");
            int templates = 0;
            int records = 0;
            long octets = 0;
            try (Client client = new Client(front.address)) {
                for (int tag = 1; templates < 2 || records < 6; tag++) {
                    client.ask(tag, "static", "0000000000000005", 2000, "");
                    assertEquals(client.answer().word(), "OK");
                    DatagramPacket packet = new DatagramPacket(new byte[2_048], 2_048);
                    collector.receive(packet);
                    ByteBuffer at = ByteBuffer.wrap(packet.getData(), 0, packet.getLength());
                    assertEquals(at.getShort(), 10);
                    assertEquals(at.getShort(), packet.getLength());
                    assertTrue(Math.abs(at.getInt() - System.currentTimeMillis() / 1000) < 10);
                    assertEquals(at.getInt(), records, "the sequence number counts the records before");
                    assertEquals(at.getInt(), 77);
                    while (at.hasRemaining()) {
                        int set = at.getShort();
                        int end = at.position() - 2 + at.getShort();
                        if (set == 2) {
                            templates++;
                            assertEquals(at.getShort(), 256);
                            int fields = at.getShort();
                            assertEquals(end - at.position(), fields * 4);
                            at.position(end);
                            continue;
                        }
                        assertEquals(set, 256);
                        assertTrue(templates > 0, "no data before its template");
                        for (; at.position() < end; records++) {
                            long from = at.getLong();
                            assertTrue(at.getLong() >= from);
                            assertEquals(at.getInt(), 0x7f000001);
                            assertEquals(at.getInt(), 0x7f000001);
                            assertEquals(Short.toUnsignedInt(at.getShort()), front.address.getPort());
                            at.getShort();
                            assertEquals(at.get(), 6);
                            octets += at.getLong();
                            assertEquals(at.get(), 3);
                        }
                    }
                }
            }
            assertEquals(octets, records * 1_234L);
        }
    }
}
