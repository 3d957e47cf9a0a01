package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the requests that recently started endpoints get. */
class SlowStartTest extends RequestRouterFixture {
    @Test
    void aWarmingCacheGetsNoMoreThanItsBudget() {
        router.endpointsChanged(now, EndpointListMode.DELTA, List.of(endpoint(1, 0, 0, now, EndpointState.READY)));
        long requestsToCache = 0;
        for (long id = 1; id <= 200; id++) {
            router.requestArrived(now, request(id, READ, id * 31));
            if (attemptCount(id) == 1) {
                requestsToCache += actions.lastAttempt().node() == 1 ? 1 : 0;
                endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
            }
        }
        // 2 x 0.2 x 3 transfers x 2 s over 2 routers is 1.2 s of work: 24 hits of 50 ms.
        assertTrue(requestsToCache <= 24, "sent " + requestsToCache);
    }

    /**
     * During an upgrade two processes of each router send, and neither knows of the other: N + 2 x root of N + 2 calls
     * are the most that a cold cache may get, N being what the settings allow it.
     */
    @Test
    void twoProcessesOfEachRouterTogetherKeepToTheCallsOfAWarmingCache() {
        long calls = 0;
        for (int process = 0; process < 4; process++) {
            RecordingActions recorded = new RecordingActions();
            RequestRouter each = startRouter(settings(process % 2, 2, false, SiblingFills.OFF), recorded);
            each.endpointsChanged(now, EndpointListMode.DELTA, List.of(endpoint(1, 0, 0, now, EndpointState.READY)));
            for (long id = 1; id <= 400; id++) {
                each.requestArrived(now, request(id, READ, id * 31));
                if (recorded.lastAttempt().request() == id) {
                    calls += recorded.lastAttempt().node() == 1 ? 1 : 0;
                    each.attemptEnded(
                            now,
                            AttemptOutcome.builder(id, 0, recorded.lastAttempt().node(), AttemptResult.OK)
                                    .durationUs(50_000)
                                    .requestCompleted(true)
                                    .cacheStatus(CacheStatus.HIT)
                                    .build());
                }
            }
        }
        // 2 x 0.2 x 3 transfers x 2 s are 2.4 s of work, 48 hits of 50 ms.
        double allowed = 48;
        assertTrue(calls > 0, "it is used");
        assertTrue(calls <= allowed + 2 * Math.sqrt(allowed) + 2, calls + " calls");
    }

    /**
     * With 40 routers each share of a cold parent is below one request; the sum must keep to the budget in every
     * window.
     */
    @Test
    void manyRoutersTogetherKeepToTheBudgetOfAWarmingParent() {
        int routers = 40;
        long windowUs = 2 * SECOND;
        List<Long> parentFillTimes = new ArrayList<>();
        for (int routerId = 0; routerId < routers; routerId++) {
            RecordingActions recorded = new RecordingActions();
            RoutingSettings settings = settings(routerId, routers, false, SiblingFills.OFF);
            RequestRouter requestRouter = new RequestRouter(
                    settings,
                    routerId,
                    recorded,
                    settings.topology().membershipConfig(0, 400_000, 1, false),
                    null,
                    false);
            List<EndpointInfo> endpoints = new ArrayList<>(endpoints());
            endpoints.set(4, endpoint(PARENT_A, 1, 1, now, EndpointState.READY));
            requestRouter.endpointsChanged(now, EndpointListMode.CACHED, endpoints);
            for (long id = 1; id <= 250; id++) {
                long at = now + id * 100_000;
                requestRouter.requestArrived(at, request(id, READ, id * 31 + routerId));
                if (recorded.lastAttempt().request() == id) {
                    if (recorded.lastAttempt().plan().fillSource() == PARENT_A) {
                        parentFillTimes.add(at);
                    }
                    requestRouter.attemptEnded(
                            at,
                            AttemptOutcome.builder(id, 0, recorded.lastAttempt().node(), AttemptResult.OK)
                                    .durationUs(50_000)
                                    .requestCompleted(true)
                                    .cacheStatus(CacheStatus.FILLED)
                                    .firstByteUs(10_000)
                                    .build());
                }
            }
        }
        // At half its warm-up the parent, sized for 0.6 x 10 transfers, tolerates 2 x 0.55 x 3 x 2 s of work; a fill is
        // 0.5 s.
        List<Long> early =
                parentFillTimes.stream().filter(at -> at < now + 10 * SECOND).toList();
        for (long at : early) {
            long inWindow =
                    early.stream().filter(t -> t > at - windowUs && t <= at).count();
            assertTrue(inWindow * 0.5 <= 2 * 0.55 * 3 * 2, inWindow + " fills in the window up to " + (at - now));
        }
        assertTrue(parentFillTimes.size() > 3, "some shares admit a request: " + parentFillTimes.size());
    }
}
