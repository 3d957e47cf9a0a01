package magpiewheel.routing;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.SplittableRandom;
import magpiewheel.staleness.ReadHint;

/**
 * What a request costs the module from its coming to its answer, with pins off, on without hints, and on with hints: a
 * main program, by {@code java -cp target/classes:target/test-classes magpiewheel.routing.DecisionCost}.
 */
public final class DecisionCost {
    private static final int ROUNDS = 7;
    private static final int REQUESTS = 40_000;
    private static final int OBJECTS = 5_000;
    private static final int FRESH = 3;
    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();
    private static final long SECOND = 1_000_000;

    /** What requests bring. */
    private enum Brings {
        NOTHING,
        MARK,
        MARK_AND_PIN
    }

    /** A router that takes every attempt and says nothing. */
    private static final class Silent extends NoOpActions {
        private final ArrayDeque<Long> sent = new ArrayDeque<>();

        @Override
        public void startAttempt(long request, long node, AttemptPlan plan) {
            sent.add(node);
        }

        @Override
        public void setTimer(long atUs, long handle) {}

        @Override
        public void sendToPeer(int recipient, byte[] message) {}
    }

    private DecisionCost() {}

    /** Prints a row each; the rounds of the three are mixed, so that a busy machine is busy for all. */
    public static void main(String[] args) {
        double[][] ns = new double[4][ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            ns[0][round] = round(false, Brings.NOTHING);
            ns[1][round] = round(true, Brings.NOTHING);
            ns[2][round] = round(true, Brings.MARK);
            ns[3][round] = round(true, Brings.MARK_AND_PIN);
        }
        String[] names = {"pins off", "pins on, no hints", "pins on, after+strict", "pins on, after+pin+strict"};
        for (int i = 0; i < names.length; i++) {
            Arrays.sort(ns[i]);
            System.out.printf("%-26s least %.0f ns, median %.0f ns a request%n", names[i], ns[i][0], ns[i][ROUNDS / 2]);
        }
    }

    private static double round(boolean pins, Brings brings) {
        RoutingSettings settings = RequestRouterFixture.settings(false, SiblingFills.OFF);
        Silent router = new Silent();
        RequestRouter rules = new RequestRouter(
                settings, 42, router, settings.topology().membershipConfig(0, 400_000, 1, false), null, pins);
        long now = 100 * SECOND;
        rules.endpointsChanged(now, EndpointListMode.CACHED, RequestRouterFixture.endpoints());
        SplittableRandom random = new SplittableRandom(1);
        // Time on the processor: a busy machine's other work is not the module's.
        long from = CPU.getCurrentThreadCpuTime();
        for (int i = 0; i < REQUESTS; i++) {
            now += 100;
            if (i % 5_000 == 0) {
                rules.boundedReads().discoveryHeard(now);
            }
            ReadHint hint = brings == Brings.NOTHING
                    ? ReadHint.NONE
                    : new ReadHint(0, now / 1_000 - 500, brings == Brings.MARK ? 0 : 1 + random.nextInt(OBJECTS), true);
            RoutingRequest request = RoutingRequest.builder(i, FRESH, 1 + random.nextInt(OBJECTS))
                    .group(5)
                    .sizeKb(40)
                    .timeBudgetUs(2 * SECOND)
                    .hint(hint)
                    .build();
            rules.requestArrived(now, request);
            Long node = router.sent.poll();
            if (node != null) {
                rules.boundedReads().responseReceived(i, 0, now, CacheStatus.HIT, now / 1_000);
                rules.evaluateDelivery(now, i, now / 1_000);
                rules.attemptEnded(
                        now,
                        AttemptOutcome.builder(i, 0, node, AttemptResult.OK)
                                .durationUs(1_000)
                                .requestCompleted(true)
                                .cacheStatus(CacheStatus.HIT)
                                .firstByteUs(500)
                                .originTimeMs(now / 1_000)
                                .build());
            }
        }
        return (double) (CPU.getCurrentThreadCpuTime() - from) / REQUESTS;
    }
}
