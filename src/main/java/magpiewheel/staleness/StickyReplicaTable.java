package magpiewheel.staleness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which replica a session's reads of an object stick to. A replica takes sessions up to a cap by its weight in the
 * zone; those of one that drains or is removed are free at once, and return over {@link #RETURN_US} when it is back.
 */
final class StickyReplicaTable {
    /** A cache may hold so much more than its share, and so many in any case. */
    static final double MAX_LOAD_FACTOR = 1.25;

    static final int MIN_CAPACITY = 16;
    /** Over so long a cache that came back gets its pins again. */
    static final long RETURN_US = 20_000_000;

    private static final long WINDOW_US = 1_000_000;
    private final SetAssociativeTable table;
    private final Map<Long, ReplicaState> replicas = new HashMap<>();
    private double weights;
    private int total;
    private int migrations;
    private long windowAt;

    /** A cache as the pins see it. */
    private static final class ReplicaState {
        boolean ready;
        double weight;
        long startedUs;
        long returnedAt = Long.MIN_VALUE;
        int assigned;
        int migrations;
    }

    StickyReplicaTable(int maxEntries, long ageUs) {
        table = new SetAssociativeTable(maxEntries, ageUs);
    }

    /** The cache that a session's reads of an object keep to, or 0. */
    long replicaOf(long now, long session, long object) {
        long key = SetAssociativeTable.keyOf(session, object, 0);
        int at = table.find(now, key);
        if (at < 0) {
            return 0;
        }
        long endpoint = table.value(at);
        long home = table.other(at);
        if (home != endpoint && isBackHome(now, home, key)) {
            return home;
        }
        return isReady(endpoint) ? endpoint : 0;
    }

    /** Whether anything is known of a session and an object. */
    boolean contains(long now, long session, long object) {
        return table.find(now, SetAssociativeTable.keyOf(session, object, 0)) >= 0;
    }

    /** Whether a pin is back at the cache it was taken at: by its state from 0 to 1, the same at every front. */
    private boolean isBackHome(long now, long home, long key) {
        ReplicaState state = replicas.get(home);
        if (state == null || !state.ready) {
            return false;
        }
        double part = (SetAssociativeTable.hash(key) >>> 11) / (double) (1L << 53);
        return state.returnedAt == Long.MIN_VALUE || now - state.returnedAt >= part * RETURN_US;
    }

    private boolean isReady(long endpoint) {
        ReplicaState state = replicas.get(endpoint);
        return state != null && state.ready;
    }

    /** A cache served a session: it is pinned there where the cap lets it; whether a pin was taken or moved. */
    boolean assign(long now, long session, long object, long endpoint) {
        ReplicaState state = replicas.get(endpoint);
        if (state == null || !state.ready) {
            return false;
        }
        long key = SetAssociativeTable.keyOf(session, object, 0);
        int at = table.find(now, key);
        if (at >= 0 && table.value(at) == endpoint) {
            table.touch(now, at);
            return false;
        }
        if (state.assigned >= capacity(state)) {
            return false;
        }
        long home = endpoint;
        if (at < 0) {
            at = table.slotFor(now, key);
        } else if (!isReady(table.other(at)) || !isBackHome(now, table.other(at), key)) {
            home = table.other(at);
        }
        release(at);
        table.put(now, at, key, endpoint, home, 0);
        state.assigned++;
        total++;
        return true;
    }

    private double capacity(ReplicaState state) {
        return Math.max(MIN_CAPACITY, MAX_LOAD_FACTOR * total * state.weight / Math.max(weights, state.weight));
    }

    private void release(int at) {
        if (table.isUsed(at)) {
            ReplicaState state = replicas.get(table.value(at));
            if (state != null && state.assigned > 0) {
                state.assigned--;
            }
            total -= table.value(at) == 0 ? 0 : 1;
        }
    }

    /**
     * Whether one more read may leave the module's order for a cache that is not first in it: by its share of each
     * second.
     */
    boolean admitsMigration(long now, long endpoint) {
        if (now - windowAt >= WINDOW_US) {
            windowAt = now;
            migrations = 0;
            replicas.values().forEach(state -> state.migrations = 0);
        }
        ReplicaState state = replicas.get(endpoint);
        if (state == null
                || !state.ready
                || state.migrations
                        >= Math.max(
                                MIN_CAPACITY,
                                MAX_LOAD_FACTOR * migrations * state.weight / Math.max(weights, state.weight))) {
            return false;
        }
        state.migrations++;
        migrations++;
        return true;
    }

    /** The list as it stands; those that have lost all they held: gone, or started again. */
    List<Long> replicasChanged(long now, List<Replica> list) {
        List<Long> emptied = new ArrayList<>();
        Map<Long, Replica> listed = new HashMap<>();
        weights = 0;
        for (Replica cache : list) {
            listed.put(cache.id(), cache);
            ReplicaState state = replicas.get(cache.id());
            if (state == null) {
                state = new ReplicaState();
                replicas.put(cache.id(), state);
                state.startedUs = cache.startedUs();
                state.returnedAt = cache.startedUs() > 0 ? now : Long.MIN_VALUE;
            } else if (cache.startedUs() != state.startedUs) {
                emptied.add(cache.id());
                state.startedUs = cache.startedUs();
                state.returnedAt = now;
                releaseAll(cache.id());
            } else if (!state.ready && !cache.draining()) {
                state.returnedAt = now;
            }
            if (state.ready && cache.draining()) {
                releaseAll(cache.id());
            }
            state.ready = !cache.draining();
            state.weight = cache.weight();
            weights += state.ready ? state.weight : 0;
        }
        replicas.keySet().removeIf(id -> {
            if (listed.containsKey(id)) {
                return false;
            }
            emptied.add(id);
            releaseAll(id);
            return true;
        });
        return emptied;
    }

    /** All pins of a cache are free; they know where they were. */
    private void releaseAll(long endpoint) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.value(i) == endpoint) {
                release(i);
                table.free(i);
            }
        }
    }

    /** Pins held at a cache. */
    int assignedTo(long endpoint) {
        ReplicaState state = replicas.get(endpoint);
        return state == null ? 0 : state.assigned;
    }

    int total() {
        return total;
    }
}
