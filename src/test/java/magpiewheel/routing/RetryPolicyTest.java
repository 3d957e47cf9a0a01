package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTest {
    private static final long WINDOW_US = 2_000_000;
    private static final long NOW = 1_000_000_000;
    private final RetryPolicy policy = new RetryPolicy(RequestLimits.builder(8).build());
    private final Endpoint cache = new Endpoint(1, 0);

    private static InFlightRequest request(Idempotency idempotency, IdempotencyKeyScope scope) {
        RequestClass requestClass = RequestClass.builder(500_000, 3_000_000)
                .idempotency(idempotency)
                .keyScope(scope)
                .idempotencyWindowUs(WINDOW_US)
                .build();
        RoutingRequest request = RoutingRequest.builder(1, 0, 77).build();
        return new InFlightRequest(request, requestClass, NOW, NOW + 3_000_000, null);
    }

    private InFlightRequest after(Idempotency idempotency, IdempotencyKeyScope scope, AttemptResult result) {
        InFlightRequest request = request(idempotency, scope);
        Attempt attempt = new Attempt(cache, cache, NOW, 0, 0);
        request.started(attempt, false);
        if (result != null) {
            attempt.end(result, 0);
        }
        return request;
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void aFirstAttemptIsAlwaysAllowed(Idempotency idempotency) {
        RetryPolicy.Permit permit = policy.permit(NOW, request(idempotency, IdempotencyKeyScope.ALL));
        assertTrue(permit.attempt() && permit.reject());
        assertNull(permit.keyScopeOf());
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void whatProvablyNeverRanMayBeRetriedAnywhere(Idempotency idempotency) {
        InFlightRequest request = after(idempotency, IdempotencyKeyScope.ZONE, AttemptResult.UNREACHABLE);
        RetryPolicy.Permit permit = policy.permit(NOW, request);
        assertTrue(permit.attempt() && permit.reject());
        assertNull(permit.keyScopeOf());
    }

    @Test
    void whatMayHaveRunIsNeitherRetriedNorRejectedWithoutIdempotency() {
        InFlightRequest request =
                after(Idempotency.NOT_IDEMPOTENT, IdempotencyKeyScope.ALL, AttemptResult.CONNECTION_LOST);
        RetryPolicy.Permit permit = policy.permit(NOW, request);
        assertFalse(permit.attempt() || permit.reject());
    }

    @Test
    void aKeyedRequestIsRetriedWithinItsScopeAndWindow() {
        InFlightRequest request = after(Idempotency.KEYED, IdempotencyKeyScope.ZONE, AttemptResult.TIMEOUT);
        RetryPolicy.Permit permit = policy.permit(NOW, request);
        assertTrue(permit.attempt());
        assertFalse(permit.reject(), "its key is unknown elsewhere");
        assertSame(cache, permit.keyScopeOf());
        assertEquals(NOW + WINDOW_US, policy.retryableUntil(request));
        assertFalse(
                policy.permit(NOW + WINDOW_US - RequestRouter.TICK_US, request).attempt());
        assertTrue(policy.permit(NOW + WINDOW_US - RequestRouter.TICK_US - 1, request)
                .attempt());
    }

    @Test
    void twoAttemptsAreOpenAtOnceOnlyWhereHedgingIsAllowed() {
        InFlightRequest request = after(Idempotency.IDEMPOTENT, IdempotencyKeyScope.ALL, null);
        assertFalse(policy.permit(NOW, request).attempt());
        RetryPolicy hedging =
                new RetryPolicy(RequestLimits.builder(8).mayHedge(true).build());
        assertTrue(hedging.permit(NOW, request).attempt());
        InFlightRequest keyed = after(Idempotency.KEYED, IdempotencyKeyScope.ALL, null);
        assertFalse(hedging.permit(NOW, keyed).attempt(), "what may run is not hedged with a key");
    }
}
