package magpiewheel.routing;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.SplittableRandom;
import magpiewheel.staleness.ReadHint;

/**
 * Measures the CPU time of the routing decisions for one request, from its arrival to its answer, with bounded reads
 * disabled, enabled without hints, and enabled with hints. A main program: {@code java -cp
 * target/classes:target/test-classes magpiewheel.routing.DecisionCost}.
 */
public final class DecisionCost {
    private static final int ROUNDS = 7;
    private static final int REQUESTS = 40_000;
    private static final int OBJECTS = 5_000;
    private static final int FRESH_CLASS = 3;
    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final long SECOND = 1_000_000;

    /** The read hints that requests carry. */
    private enum Hints {
        NONE,
        AFTER,
        AFTER_AND_PIN
    }

    /** Actions that record the started attempts and do nothing else. */
    private static final class AttemptQueue extends NoOpActions {
        private final ArrayDeque<Long> sent = new ArrayDeque<>();

        @Override
        public void startAttempt(long request, long endpointId, AttemptPlan plan) {
            sent.add(endpointId);
        }

        @Override
        public void setTimer(long atUs, long handle) {}

        @Override
        public void sendToPeer(int recipient, byte[] message) {}
    }

    private DecisionCost() {}

    /** Prints one row per variant; their rounds alternate, so that other load on the machine affects all alike. */
    public static void main(String[] args) {
        double[][] nsByVariant = new double[4][ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            nsByVariant[0][round] = measureRound(false, Hints.NONE);
            nsByVariant[1][round] = measureRound(true, Hints.NONE);
            nsByVariant[2][round] = measureRound(true, Hints.AFTER);
            nsByVariant[3][round] = measureRound(true, Hints.AFTER_AND_PIN);
        }
        String[] names = {"pins off", "pins on, no hints", "pins on, after+strict", "pins on, after+pin+strict"};
        for (int i = 0; i < names.length; i++) {
            Arrays.sort(nsByVariant[i]);
            System.out.printf(
                    "%-26s least %.0f ns, median %.0f ns a request%n",
                    names[i], nsByVariant[i][0], nsByVariant[i][ROUNDS / 2]);
        }
    }

    private static double measureRound(boolean boundedReads, Hints hints) {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        AttemptQueue actions = new AttemptQueue();
        RequestRouter requestRouter = new RequestRouter(
                settings, 42, actions, settings.topology().membershipConfig(0, 400_000, 1, false), null, boundedReads);
        long now = 100 * SECOND;
        requestRouter.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
        SplittableRandom random = new SplittableRandom(1);
        // CPU time of this thread excludes the load of other processes.
        long startNs = CPU.getCurrentThreadCpuTime();
        for (int i = 0; i < REQUESTS; i++) {
            now += 100;
            if (i % 5_000 == 0) {
                requestRouter.boundedReads().discoveryHeard(now);
            }
            ReadHint hint = hints == Hints.NONE
                    ? ReadHint.NONE
                    : new ReadHint(0, now / 1_000 - 500, hints == Hints.AFTER ? 0 : 1 + random.nextInt(OBJECTS), true);
            RoutingRequest request = RoutingRequest.builder(i, FRESH_CLASS, 1 + random.nextInt(OBJECTS))
                    .group(5)
                    .sizeKb(40)
                    .timeBudgetUs(2 * SECOND)
                    .hint(hint)
                    .build();
            requestRouter.requestArrived(now, request);
            Long endpointId = actions.sent.poll();
            if (endpointId != null) {
                requestRouter.boundedReads().responseReceived(i, 0, now, CacheStatus.HIT, now / 1_000);
                requestRouter.evaluateDelivery(now, i, now / 1_000);
                requestRouter.attemptEnded(
                        now,
                        AttemptOutcome.builder(i, 0, endpointId, AttemptResult.OK)
                                .durationUs(1_000)
                                .requestCompleted(true)
                                .cacheStatus(CacheStatus.HIT)
                                .firstByteUs(500)
                                .originTimeMs(now / 1_000)
                                .build());
            }
        }
        return (double) (CPU.getCurrentThreadCpuTime() - startNs) / REQUESTS;
    }
}
