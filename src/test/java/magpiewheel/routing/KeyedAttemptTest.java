package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import magpiewheel.region.SlowStartProfile;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an effect that is applied twice: once an attempt may have run, no further attempt may leave the
 * endpoints that know its key, or their window, on whatever route; and the client may be told to retry only where every
 * endpoint knows the key.
 */
class KeyedAttemptTest {
    private static final long SECOND = 1_000_000;
    private static final long WINDOW_US = 2 * SECOND;
    private static final long DEADLINE_US = 3 * SECOND;
    private static final int ROUNDS = 40;
    private static final int ORIGIN = 9;
    /** Outcomes of an attempt that may have run. */
    private static final List<AttemptResult> MAY_HAVE_RUN =
            List.of(AttemptResult.CONNECTION_LOST, AttemptResult.CANCELLED, AttemptResult.CORRUPT, AttemptResult.ERROR);
    /** Outcomes of an attempt that never ran. */
    private static final List<AttemptResult> NEVER_RAN =
            List.of(AttemptResult.UNREACHABLE, AttemptResult.REJECTED, AttemptResult.MISS);

    /** Where an endpoint was listed when an attempt at it began. */
    private record Sent(EndpointInfo target, long at, long startByUs) {}

    /** A request class, and what is allowed to it. */
    private record Rule(Idempotency effect, IdempotencyKeyScope scope, boolean write, boolean bypass, boolean hedge) {
        boolean allows(Sent earlier, Sent later) {
            if (effect == Idempotency.IDEMPOTENT) {
                return true;
            }
            boolean shared = switch (scope) {
                case ALL -> true;
                case ZONE -> earlier.target.zone() == later.target.zone();
                case CELL ->
                    earlier.target.id() == later.target.id()
                            || earlier.target.cell() != 0 && earlier.target.cell() == later.target.cell();
            };
            long windowEnd = earlier.at + WINDOW_US;
            return effect == Idempotency.KEYED && shared && later.at < windowEnd && later.startByUs <= windowEnd;
        }

        boolean mayReject() {
            return effect == Idempotency.IDEMPOTENT || effect == Idempotency.KEYED && scope == IdempotencyKeyScope.ALL;
        }
    }

    static Stream<Arguments> rules() {
        List<Arguments> rules = new ArrayList<>();
        for (Idempotency effect : Idempotency.values()) {
            for (IdempotencyKeyScope scope : IdempotencyKeyScope.values()) {
                for (int flags = 0; flags < 8; flags++) {
                    rules.add(Arguments.of(
                            new Rule(effect, scope, (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0)));
                }
            }
        }
        return rules.stream();
    }

    private static RoutingSettings settings(Rule rule) {
        RequestClass requestClass = RequestClass.builder(500_000, DEADLINE_US)
                .idempotency(rule.effect)
                .keyScope(rule.scope)
                .idempotencyWindowUs(WINDOW_US)
                .write(rule.write)
                .build();
        return RoutingSettings.builder(
                        RouterTopology.builder(0, 2, 0)
                                .routersByZone(new int[] {2, 0})
                                .hubByZone(new int[] {1, 1})
                                .linkKbPerSByZone(new double[] {100_000, 0})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(10_000)
                                .build(),
                        List.of(requestClass),
                        SimulatedSite.limits(8).mayHedge(rule.hedge).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(0.2, 17 * SECOND, 2, 2 * SECOND),
                                new SlowStartProfile(0.1, 20 * SECOND, 2, 2 * SECOND)))
                .cachesJoinFills(true)
                .mayBypassCaches(rule.bypass)
                .detailedCacheStatus(true)
                .build();
    }

    /** Two cells of caches in the routers' zone; two parents of one cell and the origin of none in another zone. */
    private static List<EndpointInfo> endpoints() {
        List<EndpointInfo> infos = new ArrayList<>();
        for (int id = 1; id <= 4; id++) {
            infos.add(EndpointInfo.builder(id, 0, 0).cell((id + 1) / 2).build());
        }
        infos.add(EndpointInfo.builder(7, 1, 1).cell(3).build());
        infos.add(EndpointInfo.builder(8, 1, 1).cell(3).build());
        infos.add(EndpointInfo.builder(ORIGIN, 2, 1).build());
        return infos;
    }

    /** One router, and the request that its rule is checked on. */
    private static final class Trial {
        private final Rule rule;
        private final SplittableRandom random;
        private final RecordingActions actions = new RecordingActions();
        private final List<EndpointInfo> listed = new ArrayList<>(endpoints());
        private final RequestRouter router;
        private final List<Sent> sent = new ArrayList<>();
        private Sent mayHaveRun;
        private long now = 100 * SECOND;

        Trial(Rule rule, long seed) {
            this.rule = rule;
            random = new SplittableRandom(seed);
            RoutingSettings settings = settings(rule);
            router = new RequestRouter(
                    settings, seed, actions, settings.topology().membershipConfig(0, 400_000, 1, false), null, true);
            router.endpointsChanged(now, EndpointListMode.CACHED, endpoints());
        }

        /** Plays a request whose attempts all end without an answer, beside drains and changed lists. */
        void play() {
            router.requestArrived(
                    now, RoutingRequest.builder(1, 0, random.nextLong(1, 1_000)).build());
            for (int attempt = 0; attempt < actions.attempts.size(); attempt++) {
                checkStart(attempt);
                now += random.nextInt(3) == 0 ? random.nextLong(WINDOW_US) : 20_000;
                disturb();
                end(attempt);
            }
            assertEquals(1, actions.rejected.size() + actions.failed.size(), "final answers");
            assertTrue(
                    mayHaveRun == null || rule.mayReject() || actions.rejected.isEmpty(),
                    "rejected, though it may have run at " + mayHaveRun);
        }

        private void checkStart(int attempt) {
            RecordingActions.StartedAttempt started = actions.attempts.get(attempt);
            EndpointInfo target = listed.stream()
                    .filter(info -> info.id() == started.node())
                    .findFirst()
                    .orElseThrow();
            Sent next = new Sent(target, now, started.plan().startByUs());
            sent.add(next);
            assertTrue(
                    mayHaveRun == null || rule.allows(mayHaveRun, next),
                    () -> "sent " + next + " behind " + mayHaveRun);
        }

        /** The whole of a cell, or of the caches, drains; or an endpoint comes back in another cell and zone. */
        private void disturb() {
            int kind = random.nextInt(4);
            List<EndpointInfo> changes = new ArrayList<>();
            for (EndpointInfo info : listed) {
                boolean sameCell =
                        info.cell() == sent.get(sent.size() - 1).target.cell();
                if (kind == 0 && sameCell || kind == 1 && info.kind() == 0) {
                    changes.add(with(info, EndpointState.DRAINING, info.zone(), info.cell()));
                } else if (kind == 2 && sameCell) {
                    changes.add(with(info, EndpointState.READY, 1 - info.zone(), info.cell() + 1));
                }
            }
            changes.forEach(change -> listed.replaceAll(info -> info.id() == change.id() ? change : info));
            router.endpointsChanged(now, EndpointListMode.DELTA, changes);
        }

        private static EndpointInfo with(EndpointInfo info, EndpointState state, int zone, int cell) {
            return EndpointInfo.builder(info.id(), info.kind(), zone)
                    .state(state)
                    .cell(cell)
                    .build();
        }

        private void end(int attempt) {
            boolean ran = random.nextInt(3) == 0;
            boolean withheld = ran && !rule.write && random.nextInt(3) == 0;
            List<AttemptResult> results = ran ? MAY_HAVE_RUN : NEVER_RAN;
            AttemptResult result = withheld ? AttemptResult.MISS : results.get(random.nextInt(results.size()));
            if (ran && mayHaveRun == null) {
                mayHaveRun = sent.get(attempt);
            }
            router.attemptEnded(
                    now,
                    AttemptOutcome.builder(1, attempt, sent.get(attempt).target.id(), result)
                            .durationUs(20_000)
                            .originTimeMs(withheld ? 1 : 0)
                            .build());
        }
    }

    @ParameterizedTest
    @MethodSource("rules")
    void noFurtherAttemptLeavesWhoKnowsTheKey(Rule rule) {
        for (int seed = 0; seed < ROUNDS; seed++) {
            new Trial(rule, seed).play();
        }
    }
}
