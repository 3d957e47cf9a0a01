package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What endpoints get that started lately. */
class SlowStartTest extends RequestRouterFixture {
    @Test
    void aCacheThatWarmsUpGetsNoMoreThanItsBudget() {
        router.endpointsChanged(now, EndpointListMode.DELTA, List.of(endpoint(1, 0, 0, now, EndpointState.READY)));
        long toCold = 0;
        for (long id = 1; id <= 200; id++) {
            router.requestArrived(now, request(id, READ, id * 31));
            if (attemptCount(id) == 1) {
                toCold += actions.lastAttempt().node() == 1 ? 1 : 0;
                endAttempt(id, 0, AttemptResult.OK, CacheStatus.HIT);
            }
        }
        // 2 x 0.2 x 3 transfers x 2 s over 2 directors are 1.2 s of work; hits of 50 ms are 24 of them.
        assertTrue(toCold <= 24, "sent " + toCold);
    }

    /** With 40 directors a share of a cold parent is less than a request; the sum must hold in every window. */
    @Test
    void manyRoutersTogetherKeepTheBudgetOfAParentThatWarmsUp() {
        int directors = 40;
        long window = 2 * SECOND;
        List<Long> times = new ArrayList<>();
        for (int me = 0; me < directors; me++) {
            RecordingActions each = new RecordingActions();
            RoutingSettings here = settings(me, directors, false, SiblingFills.OFF);
            RequestRouter one = new RequestRouter(
                    here, me, each, here.topology().membershipConfig(0, 400_000, 1, false), null, false);
            List<EndpointInfo> members = new ArrayList<>(endpoints());
            members.set(4, endpoint(PARENT_A, 1, 1, now, EndpointState.READY));
            one.endpointsChanged(now, EndpointListMode.CACHED, members);
            for (long id = 1; id <= 250; id++) {
                long at = now + id * 100_000;
                one.requestArrived(at, request(id, READ, id * 31 + me));
                if (each.lastAttempt().request() == id) {
                    if (each.lastAttempt().plan().fillSource() == PARENT_A) {
                        times.add(at);
                    }
                    one.attemptEnded(
                            at,
                            AttemptOutcome.builder(id, 0, each.lastAttempt().node(), AttemptResult.OK)
                                    .durationUs(50_000)
                                    .requestCompleted(true)
                                    .cacheStatus(CacheStatus.FILLED)
                                    .firstByteUs(10_000)
                                    .build());
                }
            }
        }
        // At half its age the parent, sized for 0.6 x 10 transfers, bears 2 x 0.55 x 3 x 2 s of work; each is 0.5 s.
        List<Long> early = times.stream().filter(at -> at < now + 10 * SECOND).toList();
        for (long at : early) {
            long inWindow =
                    early.stream().filter(t -> t > at - window && t <= at).count();
            assertTrue(inWindow * 0.5 <= 2 * 0.55 * 3 * 2, inWindow + " in the window to " + (at - now));
        }
        assertTrue(times.size() > 3, "it is used once its shares reach a request: " + times.size());
    }
}
