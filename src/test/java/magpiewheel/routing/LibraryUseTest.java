package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The example of the README: the routing policy used as a library, without the simulator adapter. */
class LibraryUseTest {
    @Test
    void policyRoutesARequestAndLimitsTheAgeOfCopiesAfterAPurge() {
        RecordingActions actions = new RecordingActions();
        long now = 5_000_000;
        RoutingSettings settings = RequestRouterFixture.settings(true, SiblingFills.LOCATION);
        RoutingPolicy policy = new RequestRouter(
                settings, 1, actions, settings.topology().membershipConfig(0, 400_000, 1, false), null, false);
        policy.endpointsChanged(now, EndpointListMode.FULL, RequestRouterFixture.endpoints());
        policy.requestArrived(
                now,
                RoutingRequest.builder(1, 0, 77)
                        .group(5)
                        .timeBudgetUs(2_000_000)
                        .build());
        long cacheId = actions.lastAttempt().node();
        assertTrue(cacheId >= 1 && cacheId <= 4);
        policy.attemptEnded(
                now,
                AttemptOutcome.builder(1, 0, cacheId, AttemptResult.OK)
                        .durationUs(80_000)
                        .requestCompleted(true)
                        .cacheStatus(CacheStatus.FILLED)
                        .firstByteUs(20_000)
                        .build());
        policy.objectsPurged(now, new Purge(50_000, 77, 5));
        policy.requestArrived(
                now,
                RoutingRequest.builder(2, 0, 77)
                        .group(5)
                        .timeBudgetUs(2_000_000)
                        .build());
        assertEquals(cacheId, actions.lastAttempt().node());
        assertTrue(actions.lastAttempt().plan().maxAgeUs() > 0);
    }
}
