package magpiewheel.fabric;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import magpiewheel.fabric.Asked.Part;
import magpiewheel.fabric.Copy.Given;
import magpiewheel.fabric.Copy.Withheld;

/**
 * A parent of the tests: it keeps copies, fetches each part once for all who wait, and may hang, be slow, or start cold
 * and then fall over at more work than it bears.
 */
final class StandInParent implements Source {
    /** As in the settings of the tests: what a cold one bears, from its start until it is warm. */
    private static final double COLD_FROM = 0.06;

    private static final double WARM_UP_MS = 20_000;
    private static final double MULTIPLE = 2;
    private static final long WINDOW_MS = 3_000;
    /** How long the bytes of a request take a client's link. */
    private static final double WORK_MS = 8;

    private final Map<Part, Copy> copies = new ConcurrentHashMap<>();
    private final Fills fills = new Fills();
    private final Source origin;
    private final double capacity;
    private final Deque<Long> cameAt = new ArrayDeque<>();
    private long startedMs;
    private double most;
    private boolean hangs;
    private boolean fallen;
    private volatile long[] farMs = {0};

    /** So many requests at once are in work at it when it is warm. */
    StandInParent(Source origin, double capacity) {
        this.origin = origin;
        this.capacity = capacity;
    }

    @Override
    public Given give(Asked asked) throws Withheld, InterruptedException {
        came();
        // Both ways; clients of one zone may be farther away than those of another.
        long[] far = farMs;
        Thread.sleep(1 + far[asked.front() % far.length]);
        awaitVoice();
        Copy held = copies.get(asked.part());
        if (asked.takes(held)) {
            return new Given(held, false);
        }
        if (asked.has("have-only")) {
            throw new Withheld("LACK", "src_lacks");
        }
        Given given = fills.await(asked.part(), asked.limitMs(), () -> {
            Given fresh = origin.give(asked);
            if (!asked.has("through")) {
                copies.put(asked.part(), fresh.copy());
            }
            return fresh;
        });
        awaitVoice();
        return given;
    }

    /** Counts a request against what it bears while it is cold. */
    private synchronized void came() throws Withheld {
        long now = System.currentTimeMillis();
        cameAt.addLast(now);
        while (cameAt.peekFirst() < now - WINDOW_MS) {
            cameAt.removeFirst();
        }
        double age = now - startedMs - WINDOW_MS;
        if (age < WARM_UP_MS) {
            double present = COLD_FROM + (1 - COLD_FROM) * Math.max(0, age) / WARM_UP_MS;
            most = Math.max(most, cameAt.size() * WORK_MS / (MULTIPLE * present * capacity * WINDOW_MS));
            fallen |= most > 1;
        }
        if (fallen) {
            throw Withheld.broke();
        }
    }

    private synchronized void awaitVoice() throws InterruptedException {
        while (hangs) {
            wait();
        }
    }

    /** From now on it takes requests and says nothing, or goes on where it was. */
    synchronized void hang(boolean on) {
        hangs = on;
        notifyAll();
    }

    /**
     * How long the way to it takes the clients of each front, in ms; the list is gone through again for further fronts.
     */
    void far(long... ms) {
        farMs = ms;
    }

    /** It starts again, with nothing, at this Unix millisecond; 0: as one that has run for long. */
    synchronized void starts(long atMs) {
        startedMs = atMs;
        copies.clear();
        cameAt.clear();
        fallen = false;
        most = 0;
    }

    /** How many callers wait for its fetch of an object's first part. */
    int waiting(long object) {
        return fills.waiting(new Part(object, 0));
    }

    /** The most that it had of what it bears while it was cold; above 1 it has fallen. */
    synchronized double most() {
        return most;
    }
}
