package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The README's example, as a new user would drive the module without the adapter. */
class LibraryUseTest {
    @Test
    void aStartAListARequestItsAnswerAndAPurge() {
        RecordingActions actions = new RecordingActions();
        long now = 5_000_000;
        RoutingSettings settings = RequestRouterFixture.settings(true, SiblingFills.LOCATION);
        RoutingPolicy director = new RequestRouter(
                settings, 1, actions, settings.topology().membershipConfig(0, 400_000, 1, false), null, false);
        director.endpointsChanged(now, EndpointListMode.FULL, RequestRouterFixture.endpoints());
        director.requestArrived(
                now,
                RoutingRequest.builder(1, 0, 77)
                        .group(5)
                        .timeBudgetUs(2_000_000)
                        .build());
        long node = actions.lastAttempt().node();
        assertTrue(node >= 1 && node <= 4);
        director.attemptEnded(
                now,
                AttemptOutcome.builder(1, 0, node, AttemptResult.OK)
                        .durationUs(80_000)
                        .requestCompleted(true)
                        .cacheStatus(CacheStatus.FILLED)
                        .firstByteUs(20_000)
                        .build());
        director.objectsPurged(now, new Purge(50_000, 77, 5));
        director.requestArrived(
                now,
                RoutingRequest.builder(2, 0, 77)
                        .group(5)
                        .timeBudgetUs(2_000_000)
                        .build());
        assertEquals(node, actions.lastAttempt().node());
        assertTrue(actions.lastAttempt().plan().maxAgeUs() > 0);
    }
}
