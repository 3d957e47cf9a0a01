package magpiewheel.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class ResponseCacheTest {
    private final BufferPool pool = new BufferPool(100, new Counters());
    private final ResponseCache copies = new ResponseCache(32, 1_000, 4_000);

    private static PendingRequest.ClientRequest ask(long object, int part, int group) {
        return new PendingRequest.ClientRequest("1", 0, "v", object, part, group, 0, 1, null, null, null);
    }

    private void keep(long object, int group, int buffers) {
        Body body = pool.acquire(buffers * BufferPool.BUFFER_BYTES, 0);
        copies.store(ask(object, 0, group), body, "t", 7);
        body.release();
    }

    /** What was used longest ago goes, and all room comes back to the pool. */
    @Test
    void itIsBoundedAndForgetsWhatWasUsedLongestAgo() {
        for (long object = 1; object <= 16; object++) {
            keep(object, 0, 2);
        }
        assertEquals(32, copies.heldBuffers());
        assertNotNull(copies.find(ask(1, 0, 0)));
        keep(17, 0, 2);
        assertNull(copies.find(ask(2, 0, 0)), "used longest ago");
        assertNotNull(copies.find(ask(1, 0, 0)));
        assertNull(copies.find(ask(1, 1, 0)), "another part");
        keep(18, 0, 3);
        assertNull(copies.find(ask(18, 0, 0)), "too large a part of all");
        keep(1, 0, 1);
        assertEquals(31, copies.heldBuffers(), "a newer copy takes the place of the older");
        assertEquals(100 - 31, pool.available());
    }

    @Test
    void aPurgeLetsGoOfAnObjectOrAGroup() {
        keep(1, 5, 2);
        keep(2, 5, 2);
        keep(3, 6, 2);
        copies.purge(3L, 0);
        assertNull(copies.find(ask(3, 0, 6)));
        copies.purge(null, 5);
        assertNull(copies.find(ask(1, 0, 5)));
        assertEquals(0, copies.heldBuffers());
        assertEquals(100, pool.available());
    }

    @Test
    void withoutPacesItHoldsNothing() {
        ResponseCache none = new ResponseCache(32, 0, 4_000);
        Body body = pool.acquire(1, 0);
        none.store(ask(1, 0, 0), body, "t", 7);
        body.release();
        assertEquals(100, pool.available());
    }
}
