package magpiewheel.fabric;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * What becomes of the datagrams from one front to another: lost, late, doubled, overtaken, held back. Chance has a
 * seed.
 */
final class Way {
    /** ms; so much later comes one that others are to overtake: more than a beat, less than four. */
    private static final int OVERTAKEN_LEAST_MS = 60;

    private static final int OVERTAKEN_MOST_MS = 150;

    final LongAdder datagrams = new LongAdder();
    final LongAdder octets = new LongAdder();
    private final Random random;
    private final ScheduledExecutorService later;
    private final Consumer<byte[]> out;
    private final List<byte[]> kept = new ArrayList<>();
    private double loss;
    private double twice;
    private double overtaken;
    private int leastMs;
    private int mostMs;
    private boolean cut;
    private boolean held;

    Way(long seed, ScheduledExecutorService later, Consumer<byte[]> out) {
        // Seeds that follow one another would begin alike.
        this.random = new Random(new SplittableRandom(seed).nextLong());
        this.later = later;
        this.out = out;
    }

    synchronized void lose(double share) {
        loss = share;
    }

    synchronized void delay(int least, int most) {
        leastMs = least;
        mostMs = most;
    }

    synchronized void twice(double share) {
        twice = share;
    }

    synchronized void overtake(double share) {
        overtaken = share;
    }

    synchronized void cut(boolean on) {
        cut = on;
    }

    synchronized boolean isCut() {
        return cut;
    }

    /** From now on everything is kept back. */
    synchronized void hold() {
        held = true;
    }

    /** How many are kept back. */
    synchronized int held() {
        return kept.size();
    }

    /** All that was kept back goes on its way, so many times each, the last one first. Returns how many were kept. */
    synchronized int release(int times) {
        held = false;
        int count = kept.size();
        for (int i = count - 1; i >= 0; i--) {
            for (int copy = 0; copy < times; copy++) {
                out.accept(kept.get(i));
            }
        }
        kept.clear();
        return count;
    }

    /** A sound way again; what was kept back is gone. */
    synchronized void heal() {
        lose(0);
        twice(0);
        overtake(0);
        delay(0, 0);
        cut = false;
        held = false;
        kept.clear();
    }

    /** A datagram has come from the sender. */
    synchronized void came(byte[] message) {
        datagrams.increment();
        octets.add(message.length);
        if (cut || random.nextDouble() < loss) {
            return;
        }
        if (held) {
            kept.add(message);
            return;
        }
        for (int copy = random.nextDouble() < twice ? 2 : 1; copy > 0; copy--) {
            int late = leastMs + random.nextInt(mostMs - leastMs + 1);
            if (random.nextDouble() < overtaken) {
                late += OVERTAKEN_LEAST_MS + random.nextInt(OVERTAKEN_MOST_MS - OVERTAKEN_LEAST_MS);
            }
            if (late == 0) {
                out.accept(message);
            } else {
                later.schedule(() -> out.accept(message), late, TimeUnit.MILLISECONDS);
            }
        }
    }
}
