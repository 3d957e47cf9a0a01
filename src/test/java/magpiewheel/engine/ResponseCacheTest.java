package magpiewheel.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class ResponseCacheTest {
    private final BufferPool pool = new BufferPool(100, new Counters());
    private final ResponseCache responseCache = new ResponseCache(32, 1_000, 4_000);

    private static PendingRequest.ClientRequest request(long object, int part, int group) {
        return new PendingRequest.ClientRequest("1", 0, "v", object, part, group, 0, 1, null, null, null);
    }

    private void store(long object, int group, int buffers) {
        Body body = pool.acquire(buffers * BufferPool.BUFFER_BYTES, 0);
        responseCache.store(request(object, 0, group), body, "t", 7);
        body.release();
    }

    /** The least recently used copy is evicted, and its buffers return to the pool. */
    @Test
    void evictsLeastRecentlyUsedCopyWhenFull() {
        for (long object = 1; object <= 16; object++) {
            store(object, 0, 2);
        }
        assertEquals(32, responseCache.heldBuffers());
        assertNotNull(responseCache.find(request(1, 0, 0)));
        store(17, 0, 2);
        assertNull(responseCache.find(request(2, 0, 0)), "least recently used copy is evicted");
        assertNotNull(responseCache.find(request(1, 0, 0)));
        assertNull(responseCache.find(request(1, 1, 0)), "another part is not stored");
        store(18, 0, 3);
        assertNull(responseCache.find(request(18, 0, 0)), "copy larger than the allowed fraction of the cache");
        store(1, 0, 1);
        assertEquals(31, responseCache.heldBuffers(), "a newer copy replaces the older one");
        assertEquals(100 - 31, pool.available());
    }

    @Test
    void purgeRemovesAnObjectOrAGroup() {
        store(1, 5, 2);
        store(2, 5, 2);
        store(3, 6, 2);
        responseCache.purge(3L, 0);
        assertNull(responseCache.find(request(3, 0, 6)));
        responseCache.purge(null, 5);
        assertNull(responseCache.find(request(1, 0, 5)));
        assertEquals(0, responseCache.heldBuffers());
        assertEquals(100, pool.available());
    }

    @Test
    void storesNothingWithoutTransferRates() {
        ResponseCache disabled = new ResponseCache(32, 0, 4_000);
        Body body = pool.acquire(1, 0);
        disabled.store(request(1, 0, 0), body, "t", 7);
        body.release();
        assertEquals(100, pool.available());
    }
}
