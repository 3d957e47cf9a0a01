package magpiewheel.engine;

/** Pauses between attempts of loops that end by a flag of their own. */
public final class Pause {
    private Pause() {}

    /** Waits; an interrupt ends the wait and stays set. */
    public static void ms(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
