package magpiewheel.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The copies that the front holds in its own memory, in buffers of the pool; what was used longest ago goes first. The
 * module's actor owns it. Whether a copy may be served is the module's to say.
 */
public final class ResponseCache {
    /** One part of an object. Its age counts from when the origin gave it out. */
    record Copy(long object, int part, int classIndex, int group, Body body, String tag, long originTimeMs) {
        boolean matches(PendingRequest.ClientRequest request) {
            return object == request.object() && part == request.part() && classIndex == request.classIndex();
        }
    }

    private static final float LOAD_FACTOR = 0.75f;
    /** A copy takes at most this part of all room. */
    private static final int MAX_COPY_DIVISOR = 16;

    private final LinkedHashMap<Long, Copy> copies = new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private final int maxBuffers;
    private final double transferBytesPerS;
    private final double linkBytesPerS;
    private int heldBuffers;

    /** Holds at most so many buffers of the pool; the paces of one transfer and of the front's link in bytes. */
    public ResponseCache(int maxBuffers, double transferBytesPerS, double linkBytesPerS) {
        this.maxBuffers = transferBytesPerS > 0 && linkBytesPerS > 0 ? maxBuffers : 0;
        this.transferBytesPerS = transferBytesPerS;
        this.linkBytesPerS = linkBytesPerS;
    }

    /** Holds nothing. */
    public static ResponseCache disabled() {
        return new ResponseCache(0, 0, 0);
    }

    /** How long a transfer of so many bytes takes by itself. */
    long transferUs(int bytes) {
        return (long) (bytes / transferBytesPerS * 1e6);
    }

    /** How long it takes the front's link up. */
    long linkUs(int bytes) {
        return (long) (bytes / linkBytesPerS * 1e6);
    }

    /** What it holds of what is asked for; null for nothing. */
    Copy find(PendingRequest.ClientRequest request) {
        Copy copy = copies.get(key(request));
        // Different parts may share a key: then the newer has it.
        return copy != null && copy.matches(request) ? copy : null;
    }

    /** Takes an answer in; it holds on to the body by itself. */
    void store(PendingRequest.ClientRequest request, Body body, String tag, long originTimeMs) {
        if (body.buffers() > maxBuffers / MAX_COPY_DIVISOR) {
            return;
        }
        release(copies.remove(key(request)));
        body.retain();
        heldBuffers += body.buffers();
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

    /** Lets go of an object or, with null, of a whole group. */
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

    /** Buffers held. */
    int heldBuffers() {
        return heldBuffers;
    }

    private void release(Copy copy) {
        if (copy != null) {
            heldBuffers -= copy.body().buffers();
            copy.body().release();
        }
    }

    private static Long key(PendingRequest.ClientRequest request) {
        return (request.object() * 31 + request.part()) * 31 + request.classIndex();
    }
}
