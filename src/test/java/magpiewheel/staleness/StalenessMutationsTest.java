package magpiewheel.staleness;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import magpiewheel.mutation.SourceMutation;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.engine.JupiterTestEngine;
import org.junit.platform.engine.TestExecutionResult;
import org.junit.platform.engine.discovery.DiscoverySelectors;
import org.junit.platform.engine.support.descriptor.MethodSource;
import org.junit.platform.launcher.TestExecutionListener;
import org.junit.platform.launcher.TestIdentifier;
import org.junit.platform.launcher.core.LauncherConfig;
import org.junit.platform.launcher.core.LauncherDiscoveryRequestBuilder;
import org.junit.platform.launcher.core.LauncherFactory;

/**
 * Each promise of pinned reads is seen to fail: a deliberate mistake is made in a copy of the package's sources, which
 * are compiled apart and played in a process of their own. Takes minutes, so only with {@code -Dpins.mutations=true};
 * {@code -Dpins.mistake=PATTERN} makes only those that it matches.
 */
@EnabledIfSystemProperty(named = "pins.mutations", matches = "true")
class StalenessMutationsTest {
    private static final Path SOURCES = Path.of("src/main/java/magpiewheel/staleness");

    @TempDir
    Path folder;

    static List<SourceMutation> mistakes() {
        String boundViolation = "noReadViolatesItsBoundOrMark";
        return List.of(
                new SourceMutation(
                        "the earliest that the origin's clock may show is taken",
                        "BoundedStalenessReads",
                        "originTimeUs >= originClock.latest(bound.requestedAt())",
                        "originTimeUs >= originClock.earliest(bound.requestedAt())",
                        boundViolation),
                new SourceMutation(
                        "the own clock is taken for the origin's",
                        "OriginClock",
                        "return now + upperOffsetAt(now);",
                        "return now;",
                        boundViolation),
                new SourceMutation(
                        "any copy counts as given out for this request",
                        "BoundedStalenessReads",
                        "if (viaOrigin) {",
                        "if (true) {",
                        boundViolation),
                new SourceMutation(
                        "an upper bound counts from when the answer came",
                        "BoundedStalenessReads",
                        "originClock.lowerUpperBound(sentUs,",
                        "originClock.lowerUpperBound(receivedUs,",
                        boundViolation),
                new SourceMutation(
                        "a front's word counts from when it came",
                        "ReplicaGossip",
                        "originClock.lowerUpperBound(echo,",
                        "originClock.lowerUpperBound(now,",
                        boundViolation),
                new SourceMutation(
                        "marks are not looked at",
                        "BoundedStalenessReads",
                        "hint.afterMs() * 1000, purgeUs",
                        "0, purgeUs",
                        "noSessionReadsAnOlderVersion"),
                new SourceMutation(
                        "a mark is good for a second before it",
                        "BoundedStalenessReads",
                        "hint.afterMs() * 1000, purgeUs",
                        "hint.afterMs() * 1000 - 1_000_000, purgeUs",
                        "noSessionReadsAnOlderVersion"),
                new SourceMutation(
                        "a mark is not proved, only asked for",
                        "BoundedStalenessReads",
                        "originTimeUs < bound.notBeforeUs() ||",
                        "",
                        "noSessionReadsAnOlderVersion"),
                new SourceMutation(
                        "the age is not proved, only asked for",
                        "BoundedStalenessReads",
                        "return bound.maxAgeUs() == 0",
                        "return bound.maxAgeUs() >= 0",
                        boundViolation),
                new SourceMutation(
                        "purges are not looked at",
                        "BoundedStalenessReads",
                        "hint.afterMs() * 1000, purgeUs",
                        "hint.afterMs() * 1000, 0",
                        "noStrictReadPredatesADeliveredPurge"),
                new SourceMutation(
                        "a silent board changes nothing",
                        "DiscoveryFreshness",
                        "return silenceUs > SILENT_AFTER_US ||",
                        "return silenceUs > CUT_OFF_AFTER_US ||",
                        "noStrictReadPredatesADeliveredPurge"),
                new SourceMutation(
                        "a board heard again counts as caught up",
                        "DiscoveryFreshness",
                        "CATCH_UP_US = 1_200_000",
                        "CATCH_UP_US = 0",
                        "caseHolds"),
                new SourceMutation(
                        "a board is never cut off",
                        "DiscoveryFreshness",
                        "if (silenceUs > CUT_OFF_AFTER_US) {",
                        "if (false) {",
                        "caseHolds"),
                new SourceMutation(
                        "an age is told without the error",
                        "BoundedStalenessReads",
                        "(originClock.latest(bound.requestedAt()) - originTimeUs + 999)",
                        "(originClock.earliest(bound.requestedAt()) - originTimeUs)",
                        "noReportedAgeIsTooSmall"),
                new SourceMutation(
                        "clocks do not drift",
                        "OriginClock",
                        "DRIFT_PPM = 1_200",
                        "DRIFT_PPM = 0",
                        "clockBoundsWidenByDriftAndNarrowByMeasurements"),
                new SourceMutation(
                        "a clock that was stepped is not found",
                        "OriginClock",
                        "if (upperOffsetUs != Long.MAX_VALUE && lowerOffsetUs > upperOffsetAt(now)) {",
                        "if (false) {",
                        "steppedClockIsDetectedAndMeasuredAgain"),
                new SourceMutation(
                        "a write bounds the clock from above",
                        "BoundedStalenessReads",
                        "responseReceived(sentUs, receivedUs, originTimeUs, false);",
                        "responseReceived(sentUs, receivedUs, originTimeUs, true);",
                        "writeSetsOnlyTheLowerBoundOfTheClock"),
                new SourceMutation(
                        "a write's mark is its answer's time",
                        "BoundedStalenessReads",
                        "(write ? 1 : 0)",
                        "0",
                        "markOfAWriteIsOneMillisecondLater"),
                new SourceMutation(
                        "at_most outlasts the class",
                        "BoundedStalenessReads",
                        "Math.min(hint.atMostUs(), freshUs + graceUs)",
                        "hint.atMostUs()",
                        "caseHolds"),
                new SourceMutation(
                        "a node may answer older than the class's fresh time",
                        "BoundedStalenessReads",
                        "Math.min(allowedAgeUs, bound.freshUs()) : allowedAgeUs",
                        "allowedAgeUs : allowedAgeUs",
                        "caseHolds"),
                new SourceMutation(
                        "a strict read may go by a parent of which nothing is known",
                        "BoundedStalenessReads",
                        "originTimeUs == 0 ? !bound.strict()",
                        "originTimeUs == 0 ? true",
                        "caseHolds"),
                new SourceMutation(
                        "a mark ahead of the origin is waited for",
                        "BoundedStalenessReads",
                        "&& !markAhead;",
                        ";",
                        "caseHolds"),
                new SourceMutation(
                        "what is not known of the pinned cache frees the session",
                        "BoundedStalenessReads",
                        "if (originTimeUs == 0 || originTimeUs > 0 && accepts",
                        "if (originTimeUs > 0 && accepts",
                        "caseHolds"),
                new SourceMutation(
                        "a cache takes any number of pins",
                        "StickyReplicaTable",
                        "if (state.assigned >= capacity(state)) {",
                        "if (false) {",
                        "stickyReplicasAndMigrationsAreCappedPerReplica"),
                new SourceMutation(
                        "any number of reads leave the module's order",
                        "StickyReplicaTable",
                        "state.migrations++;",
                        "",
                        "stickyReplicasAndMigrationsAreCappedPerReplica"),
                new SourceMutation(
                        "pins stay at a draining cache",
                        "StickyReplicaTable",
                        "if (state.ready && replica.draining()) {",
                        "if (false) {",
                        "assignmentsLeaveADrainingReplicaAtOnceAndReturnGradually"),
                new SourceMutation(
                        "pins come home at once",
                        "StickyReplicaTable",
                        "RETURN_US = 20_000_000",
                        "RETURN_US = 0",
                        "assignmentsLeaveADrainingReplicaAtOnceAndReturnGradually"),
                new SourceMutation(
                        "pins do not come home",
                        "StickyReplicaTable",
                        "if (home != endpoint && isHomeAvailable(now, home, key)) {",
                        "if (false) {",
                        "assignmentsLeaveADrainingReplicaAtOnceAndReturnGradually"),
                new SourceMutation(
                        "a cache that started again has what it had",
                        "StickyReplicaTable",
                        "replica.startedUs() != state.startedUs",
                        "false",
                        "restartedCacheHoldsNothing"),
                new SourceMutation(
                        "an older word counts",
                        "ReplicaIndex",
                        "Math.max(originTimeUs, table.first(index))",
                        "originTimeUs",
                        "olderCopiesAndPurgesOfOtherObjectsChangeNothing"),
                new SourceMutation(
                        "a purge leaves what is known",
                        "ReplicaIndex",
                        "table.first(i) < purgedAtUs",
                        "table.first(i) < 0",
                        "olderCopiesAndPurgesOfOtherObjectsChangeNothing"),
                new SourceMutation(
                        "the newest of a full set gives way",
                        "SetAssociativeTable",
                        "lastUsedAt[i] < lastUsedAt[oldest]",
                        "lastUsedAt[i] > lastUsedAt[oldest]",
                        "leastRecentlyUsedEntryIsReplacedAndOldEntriesExpire"),
                new SourceMutation(
                        "who starts asks nobody",
                        "ReplicaGossip",
                        "fullStateRequestsLeft = FULL_STATE_REQUESTS;",
                        "fullStateRequestsLeft = 0;",
                        "restartedRouterLearnsReplicasStickyReplicasAndClockFromPeer"),
                new SourceMutation(
                        "ticks have no limit",
                        "ReplicaGossip",
                        "int messagesLeft = MAX_DATAGRAMS_PER_TICK;",
                        "int messagesLeft = 1_000_000;",
                        "gossipPerTickIsBounded"),
                new SourceMutation(
                        "a copy is told to every front",
                        "ReplicaGossip",
                        "int to = Math.min(RECEIVERS_PER_MESSAGE, routers.size());",
                        "int to = Math.min(MAX_DATAGRAMS_PER_TICK, routers.size());",
                        "eachReplicaMessageGoesToFourRoutersInTurn"),
                new SourceMutation(
                        "any version is read",
                        "ReplicaGossip",
                        "|| bytes.get() != VERSION",
                        "|| bytes.get() < 0",
                        "malformedAndUnrequestedMessagesChangeNothing"),
                new SourceMutation(
                        "an answer counts that nobody asked for",
                        "ReplicaGossip",
                        "sent == null || sent != echo || ",
                        "",
                        "malformedAndUnrequestedMessagesChangeNothing"),
                new SourceMutation(
                        "hints are matched in any case",
                        "ReadHint",
                        "switch (name) {",
                        "switch (name.toLowerCase(java.util.Locale.ROOT)) {",
                        "malformedHintIsRejectedWithOneSentence"));
    }

    @TestFactory
    Stream<DynamicTest> mutationIsDetected() {
        String pattern = System.getProperty("pins.mistake", ".*");
        return mistakes().stream()
                .filter(mutation -> mutation.description().matches(pattern))
                .map(mutation -> mutation.detectionTest(folder, SOURCES, StalenessMutationsTest.class));
    }

    /** Plays the test that has to notice, with the others of its class, and says which ones fail. */
    public static void main(String[] args) {
        LauncherConfig jupiterOnly = LauncherConfig.builder()
                .enableTestEngineAutoRegistration(false)
                .addTestEngines(new JupiterTestEngine())
                .build();
        Class<?> testClass = Stream.of(
                        ReadHintTest.class, StalenessComponentsTest.class, CasesTest.class, StalenessProperties.class)
                .filter(test -> Stream.of(test.getDeclaredMethods())
                        .anyMatch(method -> method.getName().equals(args[0])))
                .findFirst()
                .orElseThrow();
        LauncherFactory.create(jupiterOnly)
                .execute(
                        LauncherDiscoveryRequestBuilder.request()
                                .selectors(DiscoverySelectors.selectClass(testClass))
                                .build(),
                        new TestExecutionListener() {
                            @Override
                            public void executionFinished(TestIdentifier test, TestExecutionResult result) {
                                if (test.isTest() && result.getStatus() != TestExecutionResult.Status.SUCCESSFUL) {
                                    test.getSource()
                                            .ifPresent(source -> System.out.println(
                                                    "FAILED " + ((MethodSource) source).getMethodName()));
                                }
                            }
                        });
    }
}
