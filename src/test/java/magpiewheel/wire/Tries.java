package magpiewheel.wire;

import static org.testng.Assert.assertTrue;

/**
 * Promises with a time, on a machine that may be late: kept if one of up to five tries keeps it. A program that does
 * not keep it never does.
 */
public final class Tries {
    private static final int MOST = 5;

    /** One try, and the figure that counts: a time in ms, or a number. */
    public interface Try {
        /** Does it once and tells its figure. */
        long figure() throws Exception;
    }

    private Tries() {}

    /** Tries until the figure is at most so large. What a try asserts itself holds in each. */
    public static void atMost(long most, String what, Try one) throws Exception {
        long figure = Long.MAX_VALUE;
        for (int tries = 1; tries <= MOST && figure > most; tries++) {
            figure = one.figure();
            System.out.println(what + ": " + figure + ", " + most + " at most, try " + tries);
        }
        assertTrue(figure <= most, what + ": " + figure + " instead of " + most + " in the last of " + MOST + " tries");
    }
}
