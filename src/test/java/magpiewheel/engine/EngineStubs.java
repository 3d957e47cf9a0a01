package magpiewheel.engine;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.Collection;
import java.util.List;
import magpiewheel.routing.BoundedReads;
import magpiewheel.routing.DeliveryDecision;
import magpiewheel.routing.Idempotency;
import magpiewheel.routing.RequestClass;
import magpiewheel.routing.RequestLimits;
import magpiewheel.routing.RouterTopology;
import magpiewheel.routing.RoutingPolicy;
import magpiewheel.routing.RoutingSettings;

/**
 * Stand-ins for the settings, the routing policy and the endpoints, for tests of the engine and the protocols around
 * it.
 */
public final class EngineStubs {
    private static final int MAX_ATTEMPTS = 8;
    private static final int MAX_IN_FLIGHT = 100;
    private static final long MAX_RETRY_AFTER_US = 1_000_000;

    /** Scripted behaviour of a routing policy; returns the result of a call, or null for the default one. */
    public interface PolicyScript {
        /** Handles a call of a method of the routing policy. */
        Object invoked(String method, Object[] arguments);
    }

    private EngineStubs() {}

    /**
     * Returns the settings of a single router with these request classes; attempts may be cancelled, hedged requests
     * are not allowed.
     */
    public static RoutingSettings settings(RequestClass... classes) {
        return RoutingSettings.builder(
                        RouterTopology.builder(0, 1, 0)
                                .routersByZone(new int[1])
                                .hubByZone(new int[1])
                                .linkKbPerSByZone(new double[1])
                                .parentKind(-1)
                                .originKind(-1)
                                .build(),
                        List.of(classes),
                        RequestLimits.builder(MAX_ATTEMPTS)
                                .mayCancel(true)
                                .maySendRetryAfter(true)
                                .maxInFlight(MAX_IN_FLIGHT)
                                .maxRetryAfterUs(MAX_RETRY_AFTER_US)
                                .build(),
                        null)
                .overQuotaPriorityWeight(0)
                .build();
    }

    /** Returns a request class in which only these properties matter. */
    public static RequestClass requestClass(Idempotency idempotency, boolean write, long idempotencyWindowUs) {
        return RequestClass.builder(1, 1)
                .idempotency(idempotency)
                .idempotencyWindowUs(idempotencyWindowUs)
                .write(write)
                .build();
    }

    /** Returns a class of idempotent reads. */
    public static RequestClass idempotentReads() {
        return requestClass(Idempotency.IDEMPOTENT, false, 0);
    }

    /** Returns a routing policy that delivers every response unchanged, and otherwise does what the script says. */
    public static RoutingPolicy routingPolicy(PolicyScript script) {
        return proxy(RoutingPolicy.class, (proxy, method, arguments) -> {
            Object result = script.invoked(method.getName(), arguments);
            if (result != null) {
                return result;
            }
            return switch (method.getName()) {
                case "evaluateDelivery" -> DeliveryDecision.UNCHANGED;
                case "boundedReads" -> boundedReads(false);
                default -> null;
            };
        });
    }

    /**
     * Returns bounded-staleness reads that give the same answer for every request when asked whether its bound is
     * unproven.
     */
    public static BoundedReads boundedReads(boolean unproven) {
        return proxy(
                BoundedReads.class,
                (proxy, method, arguments) -> method.getReturnType() == boolean.class ? unproven : null);
    }

    private static <T> T proxy(Class<T> type, InvocationHandler handler) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }

    /** Returns endpoints that accept and record every attempt and respond to none. */
    public static Upstream recordingUpstream(Collection<Attempt> sent) {
        return new Upstream() {
            @Override
            public void excludeUnready(List<ListedEndpoint> endpoints, boolean complete) {}

            @Override
            public boolean send(Attempt attempt) {
                return sent.add(attempt);
            }

            @Override
            public void cancel(Attempt attempt) {}

            @Override
            public void endpointsChanged(List<ListedEndpoint> endpoints, boolean complete) {}
        };
    }
}
