package magpiewheel.region;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import magpiewheel.support.Fingerprint;

/**
 * A discrete-event simulation in virtual time with a network that loses, duplicates and delays messages and can be
 * partitioned, also in one direction only.
 */
public final class SimulatedNetwork {
    /** Receives the messages of a simulated network. */
    public interface Receiver {
        /** Handles a message that arrived. */
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
    /** Share of messages that are delayed by up to 3 s. */
    double delayedShare;

    long sentMessages;
    /** Fingerprint of all messages with their times, senders and receivers. */
    public final Fingerprint messages = new Fingerprint();

    /**
     * Creates a network of {@code routers} routers; {@code lossShare} and {@code delayedShare} are shares of its
     * messages. All randomness comes from the seed.
     */
    public SimulatedNetwork(long seed, int routers, double lossShare, double delayedShare) {
        this.random = new SplittableRandom(seed);
        this.blocked = new boolean[routers][routers];
        this.lossShare = lossShare;
        this.delayedShare = delayedShare;
    }

    /** Schedules an action at a virtual time, or now if that time has passed. */
    public void at(long when, Runnable action) {
        events.add(new Event(Math.max(now, when), nextSequence++, action));
    }

    /** Schedules a periodic action, {@code step} apart. */
    public void every(long first, long step, Runnable action) {
        at(first, () -> {
            action.run();
            every(now + step, step, action);
        });
    }

    /** Sends a message, which may be lost, duplicated or delayed, and is dropped if the link is blocked. */
    public void send(int from, int to, byte[] message, Receiver receiver) {
        sentMessages++;
        messages.add(now).add((long) from).add((long) to).add(message);
        if (message.length > RegionMessageCodec.MAX_MESSAGE_BYTES) {
            throw new AssertionError("message of " + message.length + " bytes, at most "
                    + RegionMessageCodec.MAX_MESSAGE_BYTES + " allowed");
        }
        for (int copies = random.nextInt(50) == 0 ? 2 : 1; copies > 0; copies--) {
            boolean delayed = random.nextDouble() < delayedShare;
            long delay = 1_400 + random.nextLong(delayed ? 3_000_000 : 21_600);
            if (random.nextDouble() >= lossShare && !blocked[from][to]) {
                at(now + delay, () -> receiver.messageReceived(to, from, message.clone()));
            }
        }
    }

    /** Blocks or unblocks the link from one router to another, in this direction only. */
    public void setBlocked(int from, int to, boolean block) {
        blocked[from][to] = block;
    }

    boolean reaches(int from, int to) {
        return !blocked[from][to];
    }

    /** Unblocks all links. */
    public void heal() {
        for (boolean[] row : blocked) {
            java.util.Arrays.fill(row, false);
        }
    }

    /** Runs all events until a virtual time and calls {@code check} after each. */
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
