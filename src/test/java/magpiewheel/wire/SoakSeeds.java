package magpiewheel.wire;

/** The seeds of a soak: a few in the build, and by hand those that {@code soak.first} and {@code soak.seeds} name. */
final class SoakSeeds {
    private SoakSeeds() {}

    /** Returns the seeds as the arguments of a test, one each. */
    static Object[][] arguments(int countInBuild) {
        long first = Integer.getInteger("soak.first", 1);
        Object[][] seeds = new Object[Integer.getInteger("soak.seeds", countInBuild)][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {first + i};
        }
        return seeds;
    }
}
