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

/** What tests of the engine and its wires put in the place of the settings, the module and the nodes. */
public final class EngineStubs {
    private static final int MAX_ATTEMPTS = 8;
    private static final int MAX_IN_FLIGHT = 100;
    private static final long MAX_RETRY_AFTER_US = 1_000_000;

    /** What a module does with a call: it returns the result, or null for the usual one. */
    public interface PolicyScript {
        /** A method of the module was called. */
        Object invoked(String method, Object[] arguments);
    }

    private EngineStubs() {}

    /** Settings of a front that is alone, with these classes; cancels are allowed, and a second attempt is not. */
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

    /** A class of requests of which only this matters. */
    public static RequestClass requestClass(Idempotency idempotency, boolean write, long idempotencyWindowUs) {
        return RequestClass.builder(1, 1)
                .idempotency(idempotency)
                .idempotencyWindowUs(idempotencyWindowUs)
                .write(write)
                .build();
    }

    /** A class of reads that may be repeated. */
    public static RequestClass idempotentReads() {
        return requestClass(Idempotency.IDEMPOTENT, false, 0);
    }

    /** A module that lets every answer pass as it is, and else does what the script says. */
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

    /** Reads of bounded staleness of which all say the same of being unproven. */
    public static BoundedReads boundedReads(boolean unproven) {
        return proxy(
                BoundedReads.class,
                (proxy, method, arguments) -> method.getReturnType() == boolean.class ? unproven : null);
    }

    private static <T> T proxy(Class<T> type, InvocationHandler handler) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
    }

    /** Nodes that take every attempt and answer none. */
    public static Upstream recordingUpstream(Collection<Attempt> sent) {
        return new Upstream() {
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
