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
 * Checks that the tests detect faults: each mutation is applied to a copy of the package's sources, which is compiled
 * separately and tested in its own process. Takes minutes, so it runs only with {@code -Dpins.mutations=true};
 * {@code -Dpins.mistake=PATTERN} selects mutations by their description.
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
                        "ages are checked against the earliest possible origin time",
                        "BoundedStalenessReads",
                        "originTimeUs >= originClock.latest(bound.requestedAt())",
                        "originTimeUs >= originClock.earliest(bound.requestedAt())",
                        boundViolation),
                new SourceMutation(
                        "the router's clock is used as the origin's",
                        "OriginClock",
                        "return now + upperOffsetAt(now);",
                        "return now;",
                        boundViolation),
                new SourceMutation(
                        "any copy counts as issued for this request",
                        "BoundedStalenessReads",
                        "if (viaOrigin) {",
                        "if (true) {",
                        boundViolation),
                new SourceMutation(
                        "the upper clock bound is measured at the receipt of the response",
                        "BoundedStalenessReads",
                        "originClock.lowerUpperBound(sentUs,",
                        "originClock.lowerUpperBound(receivedUs,",
                        boundViolation),
                new SourceMutation(
                        "a peer's upper clock bound is measured at the receipt of its answer",
                        "ReplicaGossip",
                        "originClock.lowerUpperBound(echo,",
                        "originClock.lowerUpperBound(now,",
                        boundViolation),
                new SourceMutation(
                        "marks are ignored",
                        "BoundedStalenessReads",
                        "hint.afterMs() * 1000, purgeUs",
                        "0, purgeUs",
                        "noSessionReadsAnOlderVersion"),
                new SourceMutation(
                        "copies up to a second older than a mark are accepted",
                        "BoundedStalenessReads",
                        "hint.afterMs() * 1000, purgeUs",
                        "hint.afterMs() * 1000 - 1_000_000, purgeUs",
                        "noSessionReadsAnOlderVersion"),
                new SourceMutation(
                        "marks are sent to endpoints but not verified",
                        "BoundedStalenessReads",
                        "originTimeUs < bound.notBeforeUs() ||",
                        "",
                        "noSessionReadsAnOlderVersion"),
                new SourceMutation(
                        "the age is sent to endpoints but not verified",
                        "BoundedStalenessReads",
                        "return bound.maxAgeUs() == 0",
                        "return bound.maxAgeUs() >= 0",
                        boundViolation),
                new SourceMutation(
                        "purges are ignored",
                        "BoundedStalenessReads",
                        "hint.afterMs() * 1000, purgeUs",
                        "hint.afterMs() * 1000, 0",
                        "noStrictReadPredatesADeliveredPurge"),
                new SourceMutation(
                        "silent discovery is ignored",
                        "DiscoveryFreshness",
                        "return silenceUs > SILENT_AFTER_US ||",
                        "return silenceUs > CUT_OFF_AFTER_US ||",
                        "noStrictReadPredatesADeliveredPurge"),
                new SourceMutation(
                        "discovery counts as caught up with the first frame",
                        "DiscoveryFreshness",
                        "CATCH_UP_US = 1_200_000",
                        "CATCH_UP_US = 0",
                        "caseHolds"),
                new SourceMutation(
                        "discovery is never cut off",
                        "DiscoveryFreshness",
                        "if (silenceUs > CUT_OFF_AFTER_US) {",
                        "if (false) {",
                        "caseHolds"),
                new SourceMutation(
                        "a reported age leaves out the clock uncertainty",
                        "BoundedStalenessReads",
                        "(originClock.latest(bound.requestedAt()) - originTimeUs + 999)",
                        "(originClock.earliest(bound.requestedAt()) - originTimeUs)",
                        "noReportedAgeIsTooSmall"),
                new SourceMutation(
                        "clock drift is ignored",
                        "OriginClock",
                        "DRIFT_PPM = 1_200",
                        "DRIFT_PPM = 0",
                        "clockBoundsWidenByDriftAndNarrowByMeasurements"),
                new SourceMutation(
                        "a stepped clock is not detected",
                        "OriginClock",
                        "if (upperOffsetUs != Long.MAX_VALUE && lowerOffsetUs > upperOffsetAt(now)) {",
                        "if (false) {",
                        "steppedClockIsDetectedAndMeasuredAgain"),
                new SourceMutation(
                        "a write lowers the upper clock bound",
                        "BoundedStalenessReads",
                        "responseReceived(sentUs, receivedUs, originTimeUs, false);",
                        "responseReceived(sentUs, receivedUs, originTimeUs, true);",
                        "writeSetsOnlyTheLowerBoundOfTheClock"),
                new SourceMutation(
                        "the mark of a write is its origin time",
                        "BoundedStalenessReads",
                        "(write ? 1 : 0)",
                        "0",
                        "markOfAWriteIsOneMillisecondLater"),
                new SourceMutation(
                        "at_most may exceed the fresh time and grace of the class",
                        "BoundedStalenessReads",
                        "Math.min(hint.atMostUs(), freshUs + graceUs)",
                        "hint.atMostUs()",
                        "caseHolds"),
                new SourceMutation(
                        "the age limit may exceed the fresh time of the class",
                        "BoundedStalenessReads",
                        "Math.min(allowedAgeUs, bound.freshUs()) : allowedAgeUs",
                        "allowedAgeUs : allowedAgeUs",
                        "caseHolds"),
                new SourceMutation(
                        "a strict read may use a parent without a known copy",
                        "BoundedStalenessReads",
                        "originTimeUs == 0 ? !bound.strict()",
                        "originTimeUs == 0 ? true",
                        "caseHolds"),
                new SourceMutation(
                        "a mark ahead of the origin's clock counts as provable",
                        "BoundedStalenessReads",
                        "&& !markAhead;",
                        ";",
                        "caseHolds"),
                new SourceMutation(
                        "a sticky replica without a known copy is not used",
                        "BoundedStalenessReads",
                        "if (originTimeUs == 0 || originTimeUs > 0 && accepts",
                        "if (originTimeUs > 0 && accepts",
                        "caseHolds"),
                new SourceMutation(
                        "a replica takes any number of assignments",
                        "StickyReplicaTable",
                        "if (state.assigned >= capacity(state)) {",
                        "if (false) {",
                        "stickyReplicasAndMigrationsAreCappedPerReplica"),
                new SourceMutation(
                        "the number of reads that leave the order of preference is unlimited",
                        "StickyReplicaTable",
                        "state.migrations++;",
                        "",
                        "stickyReplicasAndMigrationsAreCappedPerReplica"),
                new SourceMutation(
                        "assignments stay at a draining replica",
                        "StickyReplicaTable",
                        "if (state.ready && replica.draining()) {",
                        "if (false) {",
                        "assignmentsLeaveADrainingReplicaAtOnceAndReturnGradually"),
                new SourceMutation(
                        "assignments return to their home all at once",
                        "StickyReplicaTable",
                        "RETURN_US = 20_000_000",
                        "RETURN_US = 0",
                        "assignmentsLeaveADrainingReplicaAtOnceAndReturnGradually"),
                new SourceMutation(
                        "assignments do not return to their home",
                        "StickyReplicaTable",
                        "if (home != endpoint && isHomeAvailable(now, home, key)) {",
                        "if (false) {",
                        "assignmentsLeaveADrainingReplicaAtOnceAndReturnGradually"),
                new SourceMutation(
                        "a restarted cache keeps its known copies",
                        "StickyReplicaTable",
                        "replica.startedUs() != state.startedUs",
                        "false",
                        "restartedCacheHoldsNothing"),
                new SourceMutation(
                        "a late report of an older copy replaces a newer one",
                        "ReplicaIndex",
                        "Math.max(originTimeUs, table.first(index))",
                        "originTimeUs",
                        "olderCopiesAndPurgesOfOtherObjectsChangeNothing"),
                new SourceMutation(
                        "a purge removes no known copies",
                        "ReplicaIndex",
                        "table.first(i) < purgedAtUs",
                        "table.first(i) < 0",
                        "olderCopiesAndPurgesOfOtherObjectsChangeNothing"),
                new SourceMutation(
                        "the most recently used entry of a full set is replaced",
                        "SetAssociativeTable",
                        "lastUsedAt[i] < lastUsedAt[oldest]",
                        "lastUsedAt[i] > lastUsedAt[oldest]",
                        "leastRecentlyUsedEntryIsReplacedAndOldEntriesExpire"),
                new SourceMutation(
                        "a router that starts does not request the state of others",
                        "ReplicaGossip",
                        "fullStateRequestsLeft = FULL_STATE_REQUESTS;",
                        "fullStateRequestsLeft = 0;",
                        "restartedRouterLearnsReplicasStickyReplicasAndClockFromPeer"),
                new SourceMutation(
                        "the number of datagrams per tick is unlimited",
                        "ReplicaGossip",
                        "int messagesLeft = MAX_DATAGRAMS_PER_TICK;",
                        "int messagesLeft = 1_000_000;",
                        "gossipPerTickIsBounded"),
                new SourceMutation(
                        "a message goes to more routers than allowed",
                        "ReplicaGossip",
                        "int to = Math.min(RECEIVERS_PER_MESSAGE, routers.size());",
                        "int to = Math.min(MAX_DATAGRAMS_PER_TICK, routers.size());",
                        "eachReplicaMessageGoesToFourRoutersInTurn"),
                new SourceMutation(
                        "messages of any version are accepted",
                        "ReplicaGossip",
                        "|| bytes.get() != VERSION",
                        "|| bytes.get() < 0",
                        "malformedAndUnrequestedMessagesChangeNothing"),
                new SourceMutation(
                        "a clock answer without a request is accepted",
                        "ReplicaGossip",
                        "sent == null || sent != echo || ",
                        "",
                        "malformedAndUnrequestedMessagesChangeNothing"),
                new SourceMutation(
                        "hint words are matched regardless of case",
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

    /** Runs the test class that contains the detecting test and prints the names of the tests that fail. */
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
