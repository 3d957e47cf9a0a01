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
    private double totalWeight;
    private int totalAssigned;
    private int migrations;
    private long windowStartedAt;

    /** A cache as the pins see it. */
    private static final class ReplicaState {
        boolean ready;
        double weight;
        long startedUs;
        long returnedAt = Long.MIN_VALUE;
        int assigned;
        int migrations;
    }

    StickyReplicaTable(int maxEntries, long maxAgeUs) {
        table = new SetAssociativeTable(maxEntries, maxAgeUs);
    }

    /** The cache that a session's reads of an object keep to, or 0. */
    long replicaOf(long now, long session, long object) {
        long key = SetAssociativeTable.keyOf(session, object, 0);
        int index = table.find(now, key);
        if (index < 0) {
            return 0;
        }
        long endpoint = table.first(index);
        long home = table.second(index);
        if (home != endpoint && isHomeAvailable(now, home, key)) {
            return home;
        }
        return isReady(endpoint) ? endpoint : 0;
    }

    /** Whether anything is known of a session and an object. */
    boolean contains(long now, long session, long object) {
        return table.find(now, SetAssociativeTable.keyOf(session, object, 0)) >= 0;
    }

    /** Whether a pin is back at the cache it was taken at: by its state from 0 to 1, the same at every front. */
    private boolean isHomeAvailable(long now, long home, long key) {
        ReplicaState state = replicas.get(home);
        if (state == null || !state.ready) {
            return false;
        }
        double fraction = (SetAssociativeTable.hash(key) >>> 11) / (double) (1L << 53);
        return state.returnedAt == Long.MIN_VALUE || now - state.returnedAt >= fraction * RETURN_US;
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
        int index = table.find(now, key);
        if (index >= 0 && table.first(index) == endpoint) {
            table.touch(now, index);
            return false;
        }
        if (state.assigned >= capacity(state)) {
            return false;
        }
        long home = endpoint;
        if (index < 0) {
            index = table.slotFor(now, key);
        } else if (!isReady(table.second(index)) || !isHomeAvailable(now, table.second(index), key)) {
            home = table.second(index);
        }
        release(index);
        table.put(now, index, key, endpoint, home, 0);
        state.assigned++;
        totalAssigned++;
        return true;
    }

    private double capacity(ReplicaState state) {
        return Math.max(
                MIN_CAPACITY, MAX_LOAD_FACTOR * totalAssigned * state.weight / Math.max(totalWeight, state.weight));
    }

    private void release(int index) {
        if (table.isUsed(index)) {
            ReplicaState state = replicas.get(table.first(index));
            if (state != null && state.assigned > 0) {
                state.assigned--;
            }
            totalAssigned -= table.first(index) == 0 ? 0 : 1;
        }
    }

    /**
     * Whether one more read may leave the module's order for a cache that is not first in it: by its share of each
     * second.
     */
    boolean admitsMigration(long now, long endpoint) {
        if (now - windowStartedAt >= WINDOW_US) {
            windowStartedAt = now;
            migrations = 0;
            replicas.values().forEach(state -> state.migrations = 0);
        }
        ReplicaState state = replicas.get(endpoint);
        if (state == null
                || !state.ready
                || state.migrations
                        >= Math.max(
                                MIN_CAPACITY,
                                MAX_LOAD_FACTOR * migrations * state.weight / Math.max(totalWeight, state.weight))) {
            return false;
        }
        state.migrations++;
        migrations++;
        return true;
    }

    /** The list as it stands; those that have lost all they held: gone, or started again. */
    List<Long> replicasChanged(long now, List<Replica> listedReplicas) {
        List<Long> lostCopies = new ArrayList<>();
        Map<Long, Replica> listedById = new HashMap<>();
        totalWeight = 0;
        for (Replica replica : listedReplicas) {
            listedById.put(replica.id(), replica);
            ReplicaState state = replicas.get(replica.id());
            if (state == null) {
                state = new ReplicaState();
                replicas.put(replica.id(), state);
                state.startedUs = replica.startedUs();
                state.returnedAt = replica.startedUs() > 0 ? now : Long.MIN_VALUE;
            } else if (replica.startedUs() != state.startedUs) {
                lostCopies.add(replica.id());
                state.startedUs = replica.startedUs();
                state.returnedAt = now;
                releaseAll(replica.id());
            } else if (!state.ready && !replica.draining()) {
                state.returnedAt = now;
            }
            if (state.ready && replica.draining()) {
                releaseAll(replica.id());
            }
            state.ready = !replica.draining();
            state.weight = replica.weight();
            totalWeight += state.ready ? state.weight : 0;
        }
        replicas.keySet().removeIf(id -> {
            if (listedById.containsKey(id)) {
                return false;
            }
            lostCopies.add(id);
            releaseAll(id);
            return true;
        });
        return lostCopies;
    }

    /** All pins of a cache are free; they know where they were. */
    private void releaseAll(long endpoint) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.first(i) == endpoint) {
                release(i);
                table.clearFirst(i);
            }
        }
    }

    /** Pins held at a cache. */
    int assignedTo(long endpoint) {
        ReplicaState state = replicas.get(endpoint);
        return state == null ? 0 : state.assigned;
    }

    int totalAssigned() {
        return totalAssigned;
    }
}
