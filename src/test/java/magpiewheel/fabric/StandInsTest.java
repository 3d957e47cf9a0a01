package magpiewheel.fabric;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.IntStream;
import magpiewheel.fabric.Copy.Withheld;
import org.testng.annotations.Test;

/** What the stand-ins of caches, parents and the origin do by themselves: verdicts on regions rest on it. */
public class StandInsTest {
    private static final int CALLS = 8;
    private final StandInOrigin origin = new StandInOrigin(1);
    private final StandInParent one = new StandInParent(origin, 36);
    private final StandInParent two = new StandInParent(origin, 36);
    private final Map<String, Source> sources = new LinkedHashMap<>(Map.of("s-1", one, "s-2", two));

    private static Asked asked(int front, long object, String more) {
        return Asked.read("serve " + Asked.trace(front, object) + " cls=static,item=" + String.format("%016x", object)
                + ",chunk=0,limit=3000,tier=1" + more + " 0");
    }

    private static String answer(StandInCache cache, Asked asked) {
        try {
            String line = new String(cache.answer(asked), StandardCharsets.ISO_8859_1);
            return line.substring(line.indexOf(' ') + 1, line.indexOf("\r\n")).replaceAll(",.*", "");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * At once, each at a cache of its own: front i fills from the i-th of the names, gone through again. The origin
     * answers once all callers wait at the parents.
     */
    private List<String> atOnce(long object, String... names) {
        ConcurrentLinkedQueue<String> all = new ConcurrentLinkedQueue<>();
        origin.hang(true);
        CompletableFuture<Void> calls = CompletableFuture.allOf(IntStream.range(0, CALLS)
                .mapToObj(i -> CompletableFuture.runAsync(
                        () -> all.add(
                                answer(new StandInCache(sources), asked(i, object, ",via=" + names[i % names.length]))),
                        work -> new Thread(work).start()))
                .toArray(CompletableFuture[]::new));
        await().until(() -> one.waiting(object) + two.waiting(object) == CALLS);
        origin.hang(false);
        calls.join();
        return List.copyOf(all);
    }

    /** One parent fetches a part once for all callers at once; two parents asked at once fetch it once each. */
    @Test
    public void aParentFetchesOnceForAllWhoWaitAndTwoFetchTwice() {
        assertEquals(atOnce(5, "s-1"), java.util.Collections.nCopies(CALLS, "DONE tell=via_origin"));
        assertEquals(origin.fetches(5), 1);
        atOnce(6, "s-1", "s-2");
        assertEquals(origin.fetches(6), 2);
        assertEquals(answer(new StandInCache(sources), asked(0, 5, ",via=s-1")), "DONE tell=filled");
        assertEquals(origin.fetches(5), 1, "it keeps copies");
    }

    /**
     * A cache without the part answers {@code LACK}, fills from the source named, joins a running fill only for a
     * request that allows it, and keeps the copy.
     */
    @Test
    public void aCacheKeepsWhatItFillsAndJoinsOnlyWhereItMay() throws Exception {
        StandInCache cache = new StandInCache(sources);
        assertEquals(answer(cache, asked(0, 7, "")), "LACK - 0");
        one.hang(true);
        CompletableFuture<String> first = CompletableFuture.supplyAsync(() -> answer(cache, asked(0, 7, ",via=s-1")));
        await().until(() -> answer(cache, asked(1, 7, ",via=s-2")).equals("LACK tell=joined 0"));
        CompletableFuture<String> rides =
                CompletableFuture.supplyAsync(() -> answer(cache, asked(1, 7, ",via=s-2,opts=ride")));
        one.hang(false);
        assertEquals(first.get(), "DONE tell=via_origin");
        assertEquals(rides.get().replace("via_origin", "joined").replace("hit", "joined"), "DONE tell=joined");
        assertEquals(answer(cache, asked(0, 7, "")), "DONE tell=hit");
        assertEquals(answer(cache, asked(0, 7, ",known=7")), "KEEP tell=hit");
        assertEquals(origin.fetches(7), 1);
    }

    /** The last who gives up ends the fill: what is asked for then is fetched anew, from whom it names. */
    @Test
    public void aFillThatNobodyWantsAnyMoreEnds() throws Exception {
        StandInCache cache = new StandInCache(sources);
        one.hang(true);
        Thread asks = new Thread(() -> {
            try {
                cache.answer(asked(0, 8, ",via=s-1"));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        asks.start();
        await().until(() -> answer(cache, asked(1, 8, "")).equals("LACK tell=joined 0"));
        asks.interrupt();
        asks.join();
        assertEquals(answer(cache, asked(1, 8, ",via=s-2,opts=ride")), "DONE tell=via_origin");
        one.hang(false);
        assertEquals(origin.fetches(8), 1);
    }

    /** A cold parent serves up to what it bears and fails beyond it; a warm one serves again. */
    @Test
    public void aColdParentFallsAtMoreThanItBears() throws Exception {
        StandInParent cold = new StandInParent(origin, 1);
        cold.starts(System.currentTimeMillis());
        for (int i = 0; i < 20; i++) {
            cold.give(asked(0, 9, ""));
        }
        assertTrue(cold.most() < 1, "" + cold.most());
        assertThrows(Withheld.class, () -> {
            for (int i = 0; i < 10_000; i++) {
                cold.give(asked(0, 9, ""));
            }
        });
        assertTrue(cold.most() > 1, "" + cold.most());
        cold.starts(0);
        cold.give(asked(0, 9, ""));
    }
}
