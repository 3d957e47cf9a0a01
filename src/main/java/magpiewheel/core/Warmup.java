package magpiewheel.core;

import java.util.List;
import java.util.function.Function;
import magpiewheel.module.Director;
import magpiewheel.module.Director.Actions;

/**
 * Drives a throwaway module before the front says that it is up: the first requests would else wait for classes to
 * be loaded and code to be compiled, all at once and on one core.
 */
public final class Warmup {
    private static final int ROUNDS = 300;
    private static final long STEP_US = 5_000;
    private static final long BUDGET_US = 1_000_000;

    private Warmup() { }

    /** Sends made-up requests through a module that nobody else sees. */
    public static void run(Director.Settings settings, Function<Actions, Director> module, List<Listed> nodes,
            long now) {
        Sink sink = new Sink();
        Director director = module.apply(sink);
        director.members(now, Director.ListMode.CACHED, nodes.stream().map(Listed::member).toList());
        long at = now;
        for (long id = 1; id <= ROUNDS; id++) {
            at += STEP_US;
            int profile = (int) (id % settings.profiles().size());
            boolean write = settings.profiles().get(profile).write();
            sink.node = Director.NOWHERE;
            director.request(at, new Director.Request(id, profile, 0, 1, 1 + id % 50, BUDGET_US, 0, id % 97 + 1, false,
                    write));
            if (sink.node != Director.NOWHERE) {
                director.outcome(at + 1, new Director.Outcome(id, 0, sink.node, Director.Result.OK, STEP_US, true,
                        id % 3 == 0 ? Director.Note.FILLED : Director.Note.HIT, 1, new double[0]));
            }
            if (id % 20 == 0) {
                director.timer(at, 0);
            }
        }
    }

    /** Takes the throwaway module's wishes and does nothing. */
    private static final class Sink implements Actions {
        private long node;

        @Override
        public void attempt(long request, long to, Director.Plan plan) {
            node = to;
        }

        @Override
        public void cancel(long request, int attempt) { }

        @Override
        public void refuse(long request, long backoffUs) { }

        @Override
        public void fail(long request) { }

        @Override
        public void timer(long atUs, long handle) { }

        @Override
        public void probe(long to) { }

        @Override
        public void tell(int recipient, byte[] message) { }

        @Override
        public void subscribe(boolean on) { }

        @Override
        public void fetchList() { }

        @Override
        public void log(String line) { }
    }
}
