package magpiewheel.fabric;

import java.io.IOException;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** Resolvers that ask fronts all the time, one for each, and keep every answer. */
public final class Watch implements AutoCloseable {
    private static final long BETWEEN_MS = 3;

    /** What a front answered to a question that was put at a time, by {@link System#nanoTime}. */
    public record Sample(int front, long askedNs, long answeredNs, Set<Integer> names) {
        @Override
        public String toString() {
            return "front " + front + " named " + names;
        }
    }

    private final Queue<Sample> samples = new ConcurrentLinkedQueue<>();
    private final List<Thread> askers;
    private volatile boolean closed;

    Watch(Fabric fabric, Collection<Integer> fronts) {
        askers = fronts.stream()
                .map(front -> {
                    Thread thread = new Thread(() -> ask(fabric, front), "resolver");
                    thread.setDaemon(true);
                    thread.start();
                    return thread;
                })
                .toList();
    }

    private void ask(Fabric fabric, int front) {
        while (!closed) {
            try {
                long from = System.nanoTime();
                Set<Integer> names = fabric.names(front);
                samples.add(new Sample(front, from, System.nanoTime(), names));
            } catch (IOException e) {
                // A dead front answers nobody; it may come back.
            }
            try {
                Thread.sleep(BETWEEN_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Every answer. */
    public List<Sample> all() {
        return List.copyOf(samples);
    }

    /** The answers to what was asked from a time on. */
    public List<Sample> since(long ns) {
        return samples.stream().filter(sample -> sample.askedNs() - ns >= 0).toList();
    }

    /** The longest time, ms, in which a front gave no answer to a question put right after the one before. */
    public long longestStillMs() {
        Map<Integer, Long> answered = new HashMap<>();
        long longest = 0;
        for (Sample sample : samples) {
            Long before = answered.put(sample.front(), sample.answeredNs());
            longest = Math.max(longest, sample.answeredNs() - (before == null ? sample.askedNs() : before));
        }
        return TimeUnit.NANOSECONDS.toMillis(longest);
    }

    /** Of these answers, those that name one of the given fronts. */
    public static List<Sample> naming(List<Sample> samples, Collection<Integer> which) {
        return samples.stream()
                .filter(sample -> !Collections.disjoint(sample.names(), which))
                .toList();
    }

    /** Of these answers, those that miss one of the given fronts. */
    public static List<Sample> missing(List<Sample> samples, Collection<Integer> which) {
        return samples.stream()
                .filter(sample -> !sample.names().containsAll(which))
                .toList();
    }

    /** Goes on asking for so long. */
    public Watch goOn(long ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(ms);
        return this;
    }

    @Override
    public void close() {
        closed = true;
        askers.forEach(Thread::interrupt);
    }
}
