package magpiewheel.module;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Decides which fronts live, from the beats that they send one another. A front is named while its last beat
 * is younger than the limit; one that says goodbye is named no longer. What was known before a start counts
 * for nothing: only beats heard since then do.
 */
public final class Liveness {
    /** us; from one beat to the next. */
    public static final long BEAT_US = 40_000;
    /** us; five beats lost in a row, yet well below the 500 ms in which the dead must be forgotten. */
    private static final long SILENCE_US = 240_000;
    /** us; a delay that differs by more says that a clock jumped: the least one seen is worthless. */
    private static final long DELAY_MOST_US = 1_000_000;
    /** Fronts remembered; a bound against senders that make up numbers. */
    private static final int FRONTS = 1_024;

    private final TreeMap<Integer, State.Front> fronts = new TreeMap<>();
    private final int me;
    private final int zone;
    private final int address;
    private boolean ready;
    private boolean leaving;

    /** Of the front with this number, in a zone, that clients reach at an IPv4 address. */
    public Liveness(int me, int zone, int address) {
        this.me = me;
        this.zone = zone;
        this.address = address;
    }

    /** Whether a message is a beat and not one of the module's. */
    public static boolean isBeat(byte[] message) {
        return Beat.is(message);
    }

    /** From now on this front may be named. */
    public void ready() {
        ready = true;
    }

    /** Whether this front is to be named no longer; its beats say so. */
    public void leave(boolean leaves) {
        leaving = leaves;
    }

    /** The beat to send to all others now. */
    public byte[] beat(long now) {
        return new Beat(zone, address, now, ready, leaving).encode();
    }

    /** A beat has come. It counts from when it was sent: one that was held up must not revive the dead. */
    public void heard(long now, int sender, byte[] message) {
        if (sender == me || !isBeat(message) || fronts.size() >= FRONTS && !fronts.containsKey(sender)) {
            return;
        }
        Beat beat = Beat.decode(message);
        State.Front front = fronts.computeIfAbsent(sender, key -> new State.Front());
        if (front.beat != null && beat.clock() <= front.beat.clock()) {
            return;
        }
        long delay = now - beat.clock();
        boolean known = front.beat != null && Math.abs(delay - front.leastDelay) < DELAY_MOST_US;
        front.leastDelay = known ? Math.min(front.leastDelay, delay) : delay;
        front.beat = beat;
    }

    /** The addresses of a zone's live fronts, by their numbers. */
    public List<Integer> live(long now, int of) {
        List<Integer> live = new ArrayList<>();
        if (ready && !leaving && of == zone) {
            live.add(address);
        }
        for (State.Front front : fronts.values()) {
            Beat beat = front.beat;
            boolean up = beat.ready() && !beat.goodbye();
            if (up && beat.zone() == of && now - (beat.clock() + front.leastDelay) < SILENCE_US) {
                live.add(beat.address());
            }
        }
        return live;
    }
}
