package magpiewheel.region;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import magpiewheel.support.Fingerprint;

/** A world's events in virtual time, and a network that loses, doubles, delays, splits and cuts one way. */
public final class SimulatedNetwork {
    /** Whoever takes in the messages of a simulated network. */
    public interface Receiver {
        /** A message has come. */
        void messageReceived(int to, int from, byte[] message);
    }

    private record Event(long at, long sequence, Runnable action) {}

    public final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final boolean[][] blocked;
    private long nextSequence;
    public long now;
    double lossShare;
    /** Share of messages that are late by up to seconds. */
    double delayedShare;

    long sentMessages;
    /** Of all messages, with their times, senders and receivers. */
    public final Fingerprint messages = new Fingerprint();

    /** A network of so many fronts; loss and late are shares of its messages, and all chance comes from the seed. */
    public SimulatedNetwork(long seed, int routers, double lossShare, double delayedShare) {
        this.random = new SplittableRandom(seed);
        this.blocked = new boolean[routers][routers];
        this.lossShare = lossShare;
        this.delayedShare = delayedShare;
    }

    /** Has something done at a virtual time, or now if that has passed. */
    public void at(long when, Runnable action) {
        events.add(new Event(Math.max(now, when), nextSequence++, action));
    }

    /** Has something done again and again, a step apart. */
    public void every(long first, long step, Runnable action) {
        at(first, () -> {
            action.run();
            every(now + step, step, action);
        });
    }

    /** Sends a message, which may be lost, doubled or late, and is dropped where the way is cut. */
    public void send(int from, int to, byte[] message, Receiver receiver) {
        sentMessages++;
        messages.add(now).add((long) from).add((long) to).add(message);
        if (message.length > RegionMessageCodec.MAX_MESSAGE_BYTES) {
            throw new AssertionError("message of " + message.length);
        }
        for (int copies = random.nextInt(50) == 0 ? 2 : 1; copies > 0; copies--) {
            boolean delayed = random.nextDouble() < delayedShare;
            long delay = 1_400 + random.nextLong(delayed ? 3_000_000 : 21_600);
            if (random.nextDouble() >= lossShare && !blocked[from][to]) {
                at(now + delay, () -> receiver.messageReceived(to, from, message.clone()));
            }
        }
    }

    /** Cuts the way from one front to another, or opens it. */
    public void setBlocked(int from, int to, boolean block) {
        blocked[from][to] = block;
    }

    boolean reaches(int from, int to) {
        return !blocked[from][to];
    }

    /** Opens all ways. */
    public void heal() {
        for (boolean[] row : blocked) {
            java.util.Arrays.fill(row, false);
        }
    }

    /** Runs events until a virtual time, with a check after each. */
    public void runUntil(long end, Runnable check) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
            check.run();
        }
        now = end;
    }
}
