package magpiewheel.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import magpiewheel.wire.HostileClients.Shape;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Hostile clients must not bring a process over its memory limit, nor cost usual clients a request. By hand, for other
 * limits: {@code -Dmemory.rows=128/512/300/DRIP+UNREAD,...} and {@code -Dmemory.seconds=60}.
 */
public class HostileClientsMemoryTest {
    private static final int USUAL = 60;
    private static final double REQUESTS_PER_S = 150;
    private static final long QUIET_MS = 5_000;
    private static final long HOSTILE_MS = 1_000L * Integer.getInteger("memory.seconds", 8);
    /** The most that the slowest hundredth of usual requests may take, as a multiple of what it takes without. */
    private static final double SLOWER = 1.5;

    private static final String ROWS = "96/1024/300/DRIP,96/1024/300/HALF_BODY,96/1024/300/SHORT_FIELDS,"
            + "96/1024/300/UNREAD,96/256/300/DRIP+UNREAD,128/1024/300/COME_AND_GO+PIPELINED,"
            + "96/1024/300/OPEN_WRITES+SILENT,192/1024/900/UNREAD+HALF_BODY";

    private record Row(int memoryMb, int sockets, int hostile, List<Shape> shapes) {
        static Row of(String text) {
            String[] parts = text.split("/");
            return new Row(
                    Integer.parseInt(parts[0]),
                    Integer.parseInt(parts[1]),
                    Integer.parseInt(parts[2]),
                    Arrays.stream(parts[3].split("\\+")).map(Shape::valueOf).toList());
        }
    }

    @DataProvider
    Object[][] rows() {
        return Stream.of(System.getProperty("memory.rows", ROWS).split(","))
                .map(row -> new Object[] {Row.of(row)})
                .toArray(Object[][]::new);
    }

    /**
     * A process went over its memory limit with some hundred clients that write slowly, stop half way or never read.
     */
    @Test(dataProvider = "rows")
    public void hostileClientsKeepTheProcessWithinItsMemoryLimit(Object given) throws Exception {
        Row row = (Row) given;
        try (MemoryRig rig = new MemoryRig(row.memoryMb(), row.sockets());
                Lateness lateness = new Lateness();
                UsualClients usual =
                        new UsualClients(rig.front.address, Math.min(USUAL, row.sockets() / 6), REQUESTS_PER_S, 1)) {
            Thread.sleep(QUIET_MS);
            UsualClients.Result quiet = usual.takeResult();
            UsualClients.Result during;
            long threads;
            int connected;
            try (HostileClients hostile = new HostileClients(rig.front.address, row.shapes(), row.hostile(), 1)) {
                Thread.sleep(HOSTILE_MS);
                connected = hostile.connected();
                threads = rig.threads();
                usual.finish();
                during = usual.takeResult();
            }
            String seen = String.format(
                    "%s: peak %.1f of %.1f MB, %d threads, %d connected%n  quiet %s%n  during %s",
                    row, rig.peakMb(), rig.mayUseMb(), threads, connected, quiet, during);
            System.out.println(seen);
            List<String> broken = new ArrayList<>();
            check(rig.front.process.isAlive(), "the process has ended", broken);
            check(rig.peakMb() <= rig.mayUseMb(), "memory", broken);
            check(during.lost() + during.late() + during.shutUnread() == 0, "usual clients lost requests", broken);
            double mostMs = quiet.p99() * SLOWER + lateness.mostNs() / 1e6;
            check(during.p99() <= mostMs, "usual clients waited longer than " + mostMs + " ms", broken);
            assertEquals(broken, List.of(), seen + System.lineSeparator() + rig.front.said);
            assertTrue(during.asked() > 0, seen);
        }
    }

    private static void check(boolean holds, String otherwise, List<String> broken) {
        if (!holds) {
            broken.add(otherwise);
        }
    }
}
