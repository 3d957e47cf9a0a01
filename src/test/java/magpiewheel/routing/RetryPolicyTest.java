package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTest {
    private static final long WINDOW_US = 2_000_000;
    private static final long NOW = 1_000_000_000;
    private final RetryPolicy policy = new RetryPolicy(RequestLimits.builder(8).build());
    private static final int SAME_ZONE = 3;
    private static final int OTHER_ZONE = 4;
    private static final RouterTopology TOPOLOGY =
            RouterTopology.builder(0, 1, SAME_ZONE).build();
    private final Endpoint cache = endpoint(1, SAME_ZONE);

    private static Endpoint endpoint(long id, int zone) {
        Endpoint endpoint = new Endpoint(id, 0);
        endpoint.update(EndpointInfo.builder(id, 0, zone).build(), TOPOLOGY);
        return endpoint;
    }

    private static InFlightRequest request(Idempotency idempotency, IdempotencyKeyScope scope) {
        RequestClass requestClass = RequestClass.builder(500_000, 3_000_000)
                .idempotency(idempotency)
                .keyScope(scope)
                .idempotencyWindowUs(WINDOW_US)
                .build();
        RoutingRequest request = RoutingRequest.builder(1, 0, 77).build();
        return new InFlightRequest(request, requestClass, NOW, NOW + 3_000_000, null);
    }

    private InFlightRequest requestAfter(Idempotency idempotency, IdempotencyKeyScope scope, AttemptResult result) {
        InFlightRequest request = request(idempotency, scope);
        Attempt attempt = new Attempt(cache, cache, NOW, 0, 0);
        request.attemptStarted(attempt, false);
        if (result != null) {
            attempt.end(AttemptOutcome.builder(1, 0, 1, result).build(), 0);
        }
        return request;
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void aFirstAttemptIsAlwaysAllowed(Idempotency idempotency) {
        RetryPolicy.Permit permit = policy.permit(NOW, request(idempotency, IdempotencyKeyScope.ALL));
        assertTrue(permit.mayAttempt() && permit.mayReject());
        assertSame(KeyScope.UNLIMITED, permit.keyScope());
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void aRequestWhoseAttemptProvablyNeverRanMayBeRetriedAtAnyEndpoint(Idempotency idempotency) {
        InFlightRequest request = requestAfter(idempotency, IdempotencyKeyScope.ZONE, AttemptResult.UNREACHABLE);
        RetryPolicy.Permit permit = policy.permit(NOW, request);
        assertTrue(permit.mayAttempt() && permit.mayReject());
        assertSame(KeyScope.UNLIMITED, permit.keyScope());
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected() {
        InFlightRequest request =
                requestAfter(Idempotency.NOT_IDEMPOTENT, IdempotencyKeyScope.ALL, AttemptResult.CONNECTION_LOST);
        RetryPolicy.Permit permit = policy.permit(NOW, request);
        assertFalse(permit.mayAttempt() || permit.mayReject());
    }

    /** The process at the address of a dead endpoint got the request, and its cell is not that of the list. */
    @Test
    void aKeyedRequestThatMayHaveRunAtAnUnprovenProcessIsRetriedOnlyIfKeysAreKnownEverywhere() {
        for (IdempotencyKeyScope scope : IdempotencyKeyScope.values()) {
            InFlightRequest request = request(Idempotency.KEYED, scope);
            Attempt attempt = new Attempt(cache, cache, NOW, 0, 0);
            request.attemptStarted(attempt, false);
            attempt.end(
                    AttemptOutcome.builder(1, 0, 1, AttemptResult.CONNECTION_LOST)
                            .serverProven(false)
                            .build(),
                    0);
            RetryPolicy.Permit permit = policy.permit(NOW, request);
            boolean everywhere = scope == IdempotencyKeyScope.ALL;
            assertEquals(everywhere, permit.allows(cache), scope + ", the same endpoint");
            assertEquals(everywhere, permit.allows(endpoint(2, SAME_ZONE)), scope + ", its neighbour");
            assertEquals(!everywhere, permit.keyScope().requiresProvenServer(), "" + scope);
        }
    }

    /** A process that was restarted under its identifier has forgotten the keys; nobody else in no cell knows them. */
    @Test
    void aKeyedRequestIsNotRetriedAtItsEndpointAfterARestart() {
        InFlightRequest request = requestAfter(Idempotency.KEYED, IdempotencyKeyScope.CELL, AttemptResult.TIMEOUT);
        assertTrue(policy.permit(NOW, request).allows(cache));
        cache.update(EndpointInfo.builder(1, 0, SAME_ZONE).startedUs(NOW).build(), TOPOLOGY);
        assertFalse(policy.permit(NOW, request).allows(cache));
    }

    @Test
    void aKeyedRequestIsRetriedWithinItsScopeAndWindow() {
        InFlightRequest request = requestAfter(Idempotency.KEYED, IdempotencyKeyScope.ZONE, AttemptResult.TIMEOUT);
        RetryPolicy.Permit permit = policy.permit(NOW, request);
        assertTrue(permit.mayAttempt());
        assertFalse(permit.mayReject(), "its key is unknown in other zones");
        assertTrue(permit.allows(endpoint(2, SAME_ZONE)));
        assertFalse(permit.allows(endpoint(3, OTHER_ZONE)));
        assertEquals(NOW + WINDOW_US, policy.retryableUntil(request));
        assertFalse(policy.permit(NOW + WINDOW_US - RequestRouter.TICK_INTERVAL_US, request)
                .mayAttempt());
        assertTrue(policy.permit(NOW + WINDOW_US - RequestRouter.TICK_INTERVAL_US - 1, request)
                .mayAttempt());
    }

    @Test
    void twoAttemptsAreOpenAtOnceOnlyWhereHedgingIsAllowed() {
        InFlightRequest request = requestAfter(Idempotency.IDEMPOTENT, IdempotencyKeyScope.ALL, null);
        assertFalse(policy.permit(NOW, request).mayAttempt());
        RetryPolicy hedging =
                new RetryPolicy(RequestLimits.builder(8).mayHedge(true).build());
        assertTrue(hedging.permit(NOW, request).mayAttempt());
        InFlightRequest keyed = requestAfter(Idempotency.KEYED, IdempotencyKeyScope.ALL, null);
        assertFalse(hedging.permit(NOW, keyed).mayAttempt(), "a keyed request that may have run is not hedged");
    }
}
