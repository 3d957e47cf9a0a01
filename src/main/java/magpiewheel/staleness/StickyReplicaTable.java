package magpiewheel.staleness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The sticky replica of each session and object. A replica takes assignments up to a capacity by its weight in the
 * zone. If it drains or is removed, its assignments are released at once; when it is available again, they return to it
 * gradually over {@link #RETURN_US}.
 */
final class StickyReplicaTable {
    /** Capacity of a replica, as a multiple of its share by weight. */
    static final double MAX_LOAD_FACTOR = 1.25;
    /** Minimum capacity of a replica, whatever its share. */
    static final int MIN_CAPACITY = 16;
    /** Time over which a replica that is available again gets its assignments back. */
    static final long RETURN_US = 20_000_000;
    /** Time window in which {@link #admitsMigration} counts. */
    private static final long WINDOW_US = 1_000_000;

    private final SetAssociativeTable table;
    private final Map<Long, ReplicaState> replicas = new HashMap<>();
    private double totalWeight;
    private int totalAssigned;
    private int migrations;
    private long windowStartedAt;

    /** State of one replica. */
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

    /** Returns the sticky replica of a session and object, or 0 if there is none or it is not available. */
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

    /** Whether there is an entry for a session and object, even if its replica was released. */
    boolean contains(long now, long session, long object) {
        return table.find(now, SetAssociativeTable.keyOf(session, object, 0)) >= 0;
    }

    /**
     * Whether an assignment returns to its home, the replica that it was first assigned to. The key's hash decides when
     * within {@link #RETURN_US}, so every router decides the same.
     */
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

    /**
     * Assigns a session and object to the replica that served it, if the replica has capacity. Returns whether the
     * assignment is new or has moved.
     */
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
     * Whether one more read may go to a replica that is not first in the order of preference. Limits such reads per
     * replica and second to its capacity by weight, and counts the read if admitted.
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

    /** Applies the current list of replicas. Returns those that lost their copies: removed or restarted. */
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

    /** Releases all assignments of a replica; each keeps its home, so that it can return. */
    private void releaseAll(long endpoint) {
        for (int i = 0; i < table.size(); i++) {
            if (table.isUsed(i) && table.first(i) == endpoint) {
                release(i);
                table.clearFirst(i);
            }
        }
    }

    /** Returns the number of assignments to a replica. */
    int assignedTo(long endpoint) {
        ReplicaState state = replicas.get(endpoint);
        return state == null ? 0 : state.assigned;
    }

    int totalAssigned() {
        return totalAssigned;
    }
}
