package magpiewheel.upstream;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what proves that a connection leads to the server that discovery lists; times in seconds. */
public class ServerIdentityTest {
    private static final long SECOND_US = 1_000_000;
    private static final long LISTED = Long.MAX_VALUE / SECOND_US;

    @DataProvider
    Object[][] connections() {
        return new Object[][] {
            // opened, list current as of, listed until, proven
            {0, 100, LISTED, false},
            {100, 100, LISTED, false},
            {100, 106, LISTED, false},
            {100, 107, LISTED, true},
            {100, 0, LISTED, false},
            {100, 200, 103, false},
            {100, 200, 107, true}
        };
    }

    /** Only a connection that has been open for 7 s, in contact with discovery and listed throughout, is proven. */
    @Test(dataProvider = "connections")
    public void aConnectionIsProvenOnceAReplacementWouldHaveBeenTold(
            long openedAt, long currentAsOf, long listedUntil, boolean proven) {
        ServerIdentity identity = new ServerIdentity();
        identity.listCurrentAsOf(currentAsOf * SECOND_US);
        identity.listCurrentAsOf(0);
        assertEquals(identity.isProven(openedAt * SECOND_US, listedUntil * SECOND_US), proven);
    }
}
