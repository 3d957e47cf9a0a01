package magpiewheel.fabric;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import magpiewheel.fabric.Asked.Part;
import magpiewheel.fabric.Copy.Given;

/** The origin of the tests: it has everything, takes its time, and counts how often each part leaves it. */
final class StandInOrigin implements Source {
    private static final int LEAST_MS = 20;
    private static final int MOST_MS = 40;
    private final Map<Part, Integer> fetches = new ConcurrentHashMap<>();
    private final Random random;
    private boolean hangs;

    StandInOrigin(long seed) {
        random = new Random(seed);
    }

    @Override
    public Given give(Asked asked) throws InterruptedException {
        fetches.merge(asked.part(), 1, Integer::sum);
        Copy copy = new Copy(Long.toHexString(asked.part().object()), System.currentTimeMillis());
        awaitRelease();
        Thread.sleep(LEAST_MS + random.nextInt(MOST_MS - LEAST_MS));
        return new Given(copy, true);
    }

    private synchronized void awaitRelease() throws InterruptedException {
        while (hangs) {
            wait();
        }
    }

    /** From now on it takes requests and withholds the answers, or sends them. */
    synchronized void hang(boolean on) {
        hangs = on;
        notifyAll();
    }

    /** How often an object's first part left it. */
    int fetches(long object) {
        return fetches.getOrDefault(new Part(object, 0), 0);
    }
}
