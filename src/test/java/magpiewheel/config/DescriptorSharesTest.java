package magpiewheel.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import magpiewheel.resp.RespFront;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How descriptors are shared out, at every limit that a configuration may name. */
public class DescriptorSharesTest {
    private static final String OFF = "{}";
    private static final String DNS = "{\"dns\":{\"enabled\":true}}";

    private static AppConfig app(String text) throws Exception {
        Path file = Files.createTempFile("app", ".json");
        try {
            return AppConfig.read(Files.writeString(file, text));
        } finally {
            Files.delete(file);
        }
    }

    @DataProvider
    Object[][] limits() {
        return new Object[][] {
            {64, OFF, 27, 8},
            {90, OFF, 50, 9},
            {128, OFF, 62, 35},
            {512, OFF, 190, 283},
            {1_024, OFF, 349, 341},
            {128, DNS, 53, 8},
            {1_024, DNS, 349, 341}
        };
    }

    /** The shares at a few limits, from the least that is allowed to the largest. */
    @Test(dataProvider = "limits")
    public void descriptorsAreSharedOut(int sockets, String text, int clients, int nodes) throws Exception {
        assertEquals(
                DescriptorShares.of(sockets, app(text), RespFront::descriptors), new DescriptorShares(clients, nodes));
    }

    /**
     * Usual clients hold a third and no more: that, connections that are ending, the program's own and a few to nodes
     * always find room.
     */
    @Test
    public void noLimitIsSharedOutTwice() throws Exception {
        AppConfig off = app(OFF);
        for (int sockets = 64; sockets <= 1_024; sockets++) {
            DescriptorShares shares = DescriptorShares.of(sockets, off, RespFront::descriptors);
            assertTrue(shares.clients() >= Math.min(off.clients(), sockets / 3), "clients at " + sockets);
            assertTrue(
                    RespFront.descriptors(shares.clients()) + shares.nodeConnections() + DescriptorShares.OWN
                            <= sockets,
                    "more than there are at " + sockets);
        }
    }
}
