package magpiewheel.pressure;

/**
 * Takes the level from how full the exporter's store is. It goes up at once, and down one level at a time, only after
 * the store has stayed low for a while: a store that swings round a bound does not make the level swing.
 */
public final class LevelControl {
    /** Shares of the store at which a level is entered, and below which it may be left. */
    private static final double AGGREGATE_FROM = 0.5;

    private static final double AGGREGATE_UNTIL = 0.25;
    private static final double COUNT_FROM = 0.95;
    private static final double COUNT_UNTIL = 0.75;
    private final long dwellMs;
    private Level level = Level.EACH;
    private long lowSince = -1;
    private int changes;

    /** A level is left at the earliest when the store has been low for so long. */
    public LevelControl(long dwellMs) {
        this.dwellMs = dwellMs;
    }

    /** The level at a time, with the store filled to a share. */
    public Level at(long nowMs, double filled) {
        if (filled >= COUNT_FROM) {
            enter(Level.COUNT);
        } else if (filled >= AGGREGATE_FROM && level == Level.EACH) {
            enter(Level.AGGREGATE);
        }
        boolean low =
                level == Level.COUNT ? filled < COUNT_UNTIL : level == Level.AGGREGATE && filled < AGGREGATE_UNTIL;
        if (!low) {
            lowSince = -1;
        } else if (lowSince < 0) {
            lowSince = nowMs;
        } else if (nowMs - lowSince >= dwellMs) {
            enter(level == Level.COUNT ? Level.AGGREGATE : Level.EACH);
        }
        return level;
    }

    private void enter(Level next) {
        if (next != level) {
            level = next;
            lowSince = -1;
            changes++;
        }
    }

    /** The level that was last taken. */
    public Level level() {
        return level;
    }

    /** How often it has changed. */
    public int changes() {
        return changes;
    }
}
