package magpiewheel.fabric;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import magpiewheel.fabric.Asked.Part;
import magpiewheel.fabric.Copy.Given;
import magpiewheel.fabric.Copy.Withheld;

/** Fetches on their way, one a part: who wants the same waits for the same, and it ends with the last who waits. */
final class Fills {
    private static final class Fill {
        private Future<Given> work;
        private int waiting;
    }

    private static final ExecutorService WORKERS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "fill", 1 << 17);
        thread.setDaemon(true);
        return thread;
    });
    private final Map<Part, Fill> open = new HashMap<>();

    synchronized boolean has(Part part) {
        return open.containsKey(part);
    }

    /** How many callers wait for a part now. */
    synchronized int waiting(Part part) {
        Fill fill = open.get(part);
        return fill == null ? 0 : fill.waiting;
    }

    /** Waits for a part, which is fetched unless that is under way; no longer than the limit. */
    Given await(Part part, long limitMs, Callable<Given> fetch) throws Withheld, InterruptedException {
        Fill fill = join(part, fetch);
        try {
            return fill.work.get(limitMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof Withheld withheld ? withheld : Withheld.broke();
        } catch (TimeoutException e) {
            throw Withheld.broke();
        } finally {
            leave(part, fill);
        }
    }

    private synchronized Fill join(Part part, Callable<Given> fetch) {
        Fill fill = open.computeIfAbsent(part, key -> new Fill());
        if (fill.work == null) {
            fill.work = WORKERS.submit(() -> {
                try {
                    return fetch.call();
                } finally {
                    ended(part, fill);
                }
            });
        }
        fill.waiting++;
        return fill;
    }

    private synchronized void ended(Part part, Fill fill) {
        open.remove(part, fill);
    }

    private synchronized void leave(Part part, Fill fill) {
        fill.waiting--;
        if (fill.waiting == 0) {
            open.remove(part, fill);
            fill.work.cancel(true);
        }
    }
}
