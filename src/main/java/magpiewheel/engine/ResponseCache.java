package magpiewheel.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The local copies in this router's memory, in buffers of the pool, with least-recently-used eviction. Owned by the
 * engine's actor. The routing policy decides whether a copy may be served.
 */
public final class ResponseCache {
    /** A copy of one part of an object. Its age counts from when the origin issued it. */
    record Copy(long object, int part, int classIndex, int group, Body body, String tag, long originTimeMs) {
        boolean matches(PendingRequest.ClientRequest request) {
            return object == request.object() && part == request.part() && classIndex == request.classIndex();
        }
    }

    private static final float LOAD_FACTOR = 0.75f;
    /** A copy may take at most this fraction of all buffers. */
    private static final int MAX_COPY_DIVISOR = 16;

    private final LinkedHashMap<Long, Copy> copies = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private final int maxBuffers;
    private final double transferBytesPerS;
    private final double linkBytesPerS;
    private int heldBuffers;

    /**
     * Creates a cache of at most this many buffers of the pool. The rates, of a single transfer and of the router's
     * link, are in bytes per second; if either is 0, nothing is cached.
     */
    public ResponseCache(int maxBuffers, double transferBytesPerS, double linkBytesPerS) {
        this.maxBuffers = transferBytesPerS > 0 && linkBytesPerS > 0 ? maxBuffers : 0;
        this.transferBytesPerS = transferBytesPerS;
        this.linkBytesPerS = linkBytesPerS;
    }

    /** Returns a cache that stores nothing. */
    public static ResponseCache disabled() {
        return new ResponseCache(0, 0, 0);
    }

    /** Returns how many microseconds a single transfer of this many bytes takes. */
    long transferUs(int bytes) {
        return (long) (bytes / transferBytesPerS * 1e6);
    }

    /** Returns for how many microseconds a transfer of this many bytes occupies the router's link. */
    long linkUs(int bytes) {
        return (long) (bytes / linkBytesPerS * 1e6);
    }

    /** Returns the copy of the requested part; null if there is none. */
    Copy find(PendingRequest.ClientRequest request) {
        Copy copy = copies.get(key(request));
        // Different parts may share a key; the newer one then replaces the older.
        return copy != null && copy.matches(request) ? copy : null;
    }

    /** Stores a response unless it is too large, and retains its body by a reference of its own. */
    void store(PendingRequest.ClientRequest request, Body body, String tag, long originTimeMs) {
        if (body.bufferCount() > maxBuffers / MAX_COPY_DIVISOR) {
            return;
        }
        release(copies.remove(key(request)));
        body.retain();
        heldBuffers += body.bufferCount();
        copies.put(
                key(request),
                new Copy(
                        request.object(),
                        request.part(),
                        request.classIndex(),
                        request.group(),
                        body,
                        tag,
                        originTimeMs));
        for (Iterator<Copy> eldest = copies.values().iterator(); heldBuffers > maxBuffers; ) {
            Copy oldest = eldest.next();
            eldest.remove();
            release(oldest);
        }
    }

    /** Removes the copies of an object or, if {@code object} is null, of a whole group. */
    void purge(Long object, int group) {
        Predicate<Copy> purged = copy -> object == null ? copy.group() == group : copy.object() == object;
        for (Iterator<Map.Entry<Long, Copy>> all = copies.entrySet().iterator(); all.hasNext(); ) {
            Copy copy = all.next().getValue();
            if (purged.test(copy)) {
                all.remove();
                release(copy);
            }
        }
    }

    /** Returns the number of buffers in use. */
    int heldBuffers() {
        return heldBuffers;
    }

    private void release(Copy copy) {
        if (copy != null) {
            heldBuffers -= copy.body().bufferCount();
            copy.body().release();
        }
    }

    private static Long key(PendingRequest.ClientRequest request) {
        return (request.object() * 31 + request.part()) * 31 + request.classIndex();
    }
}
