package magpiewheel.pressure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The objects that drew most bytes, by Space-Saving (Metwally, Agrawal, El Abbadi 2005) with weights: so many counters
 * in a heap by count, and an open-addressed index from object to place in it. An object's count is never below its true
 * bytes and above them by at most {@code error}, which is at most all bytes over the number of counters.
 */
public final class HeavyHitters {
    /** An object, its bytes at most, and by how much that may be too high. */
    public record Hitter(long object, long octets, long error) {}

    private final int most;
    private final long[] objects;
    private final long[] counts;
    private final long[] errors;
    /** Slot of each heap place in the index, so that a move can be noted without a search. */
    private final int[] slotOf;

    private final int[] index;
    private final int mask;
    private int size;

    /** With so many counters. */
    public HeavyHitters(int most) {
        this.most = most;
        objects = new long[most];
        counts = new long[most];
        errors = new long[most];
        slotOf = new int[most];
        // At most half full, so that probes stay short.
        index = new int[Integer.highestOneBit(Math.max(2, 2 * most - 1)) << 1];
        mask = index.length - 1;
        Arrays.fill(index, -1);
    }

    /** An object drew some bytes. */
    public void add(long object, long octets) {
        int slot = find(object);
        int place = index[slot];
        if (place >= 0) {
            counts[place] += octets;
            down(place);
        } else if (size < most) {
            place = size++;
            set(place, object, octets, 0, slot);
            up(place);
        } else {
            // The least is taken over: the newcomer may have had as much before.
            long least = counts[0];
            remove(slotOf[0]);
            set(0, object, least + octets, least, find(object));
            down(0);
        }
    }

    /** The largest, in falling order. */
    public List<Hitter> top(int count) {
        List<Hitter> all = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            all.add(new Hitter(objects[i], counts[i], errors[i]));
        }
        all.sort((a, b) -> Long.compare(b.octets(), a.octets()));
        return List.copyOf(all.subList(0, Math.min(count, all.size())));
    }

    /** Counts everything half from now on: what was asked for long ago fades. */
    public void fade() {
        for (int i = 0; i < size; i++) {
            counts[i] /= 2;
            errors[i] /= 2;
        }
    }

    private static int spread(long object) {
        long mixed = object * 0x9e3779b97f4a7c15L;
        return (int) (mixed >>> 32);
    }

    /** The slot that an object has in the index, or the free one that it would get. */
    private int find(long object) {
        int slot = spread(object) & mask;
        while (index[slot] >= 0 && objects[index[slot]] != object) {
            slot = slot + 1 & mask;
        }
        return slot;
    }

    /** Frees a slot and moves up those behind it that were pushed on by it. */
    private void remove(int slot) {
        index[slot] = -1;
        for (int next = slot + 1 & mask; index[next] >= 0; next = next + 1 & mask) {
            int place = index[next];
            index[next] = -1;
            int better = find(objects[place]);
            index[better] = place;
            slotOf[place] = better;
        }
    }

    private void set(int place, long object, long count, long error, int slot) {
        objects[place] = object;
        counts[place] = count;
        errors[place] = error;
        slotOf[place] = slot;
        index[slot] = place;
    }

    private void down(int from) {
        int place = from;
        for (int child = 2 * place + 1; child < size; child = 2 * place + 1) {
            if (child + 1 < size && counts[child + 1] < counts[child]) {
                child++;
            }
            if (counts[place] <= counts[child]) {
                return;
            }
            swap(place, child);
            place = child;
        }
    }

    private void up(int from) {
        int place = from;
        while (place > 0 && counts[(place - 1) / 2] > counts[place]) {
            swap(place, (place - 1) / 2);
            place = (place - 1) / 2;
        }
    }

    private void swap(int a, int b) {
        long object = objects[a];
        long count = counts[a];
        long error = errors[a];
        int slot = slotOf[a];
        set(a, objects[b], counts[b], errors[b], slotOf[b]);
        set(b, object, count, error, slot);
    }
}
