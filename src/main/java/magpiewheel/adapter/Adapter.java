package magpiewheel.adapter;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiewheel.config.ConfigException;
import magpiewheel.config.Settings;
import magpiewheel.membership.MembershipConfig;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;
import magpiewheel.routing.EndpointInfo;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.EndpointState;
import magpiewheel.routing.HealthCheckResult;
import magpiewheel.routing.Purge;
import magpiewheel.routing.RequestRouter;
import magpiewheel.routing.RoutingPolicy;
import magpiewheel.routing.RoutingRequest;
import magpiewheel.routing.RoutingSettings;

/** Decodes the simulator's batches into calls of routing policy instances; makes no routing decisions. */
public final class Adapter {
    private static final String USAGE = "usage: magpiewheel.jar adapter";
    // Flags of IN_REQUEST_ARRIVED.
    private static final int FLAG_CLIENT_RETRY = 2;
    private static final int FLAG_WRITE = 4;
    private static final CacheStatus[] CACHE_STATUSES = CacheStatus.values();
    private static final EndpointListMode[] LIST_MODES = EndpointListMode.values();
    private final Map<Integer, RoutingPolicy> instances = new HashMap<>();
    private final FrameReader reader;
    private final FrameWriter writer = new FrameWriter();
    private final OutputStream out;

    Adapter(InputStream in, OutputStream out) {
        this.reader = new FrameReader(in);
        this.out = out;
    }

    /**
     * Runs the adapter on standard input and output. Exits with 0 after the input ends, with 2 on malformed input, an
     * I/O error or wrong arguments.
     */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println(USAGE);
            System.exit(2);
        }
        try {
            new Adapter(new BufferedInputStream(System.in, 1 << 16), new BufferedOutputStream(System.out, 1 << 16))
                    .run();
        } catch (IOException e) {
            System.err.println("magpiewheel: " + e.getMessage());
            System.exit(2);
        }
    }

    void run() throws IOException {
        while (reader.nextBatch()) {
            for (int code = reader.nextRecord(); code >= 0; code = reader.nextRecord()) {
                handleRecord(code);
            }
            writer.flush(out);
        }
    }

    private void handleRecord(int code) throws IOException {
        if (code > Wire.IN_OBJECTS_PURGED) {
            throw new FrameReader.MalformedInput("unknown record code " + code);
        }
        int instanceId = reader.u16();
        Runnable event = decode(code, instanceId);
        reader.endRecord(code);
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            writer.textRecord(Wire.OUT_INTERNAL_ERROR, instanceId, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private static RoutingSettings parseSettings(byte[] json) throws IOException {
        try {
            return Settings.parse(new String(json, StandardCharsets.UTF_8)).routing();
        } catch (ConfigException e) {
            throw new FrameReader.MalformedInput("invalid settings: " + e.getMessage());
        }
    }

    private RoutingPolicy instance(int instanceId) throws IOException {
        RoutingPolicy found = instances.get(instanceId);
        if (found == null) {
            throw new FrameReader.MalformedInput("record for instance " + instanceId + ", which was not started");
        }
        return found;
    }

    private Runnable decode(int code, int instanceId) throws IOException {
        if (code == Wire.IN_START_INSTANCE) {
            long seed = reader.u64();
            RoutingSettings settings = parseSettings(reader.bytes(reader.u32()));
            long now = reader.clock();
            return () -> {
                RoutingPolicy router = new RequestRouter(
                        settings,
                        seed,
                        writer.actionsOf(instanceId),
                        settings.topology()
                                .membershipConfig(
                                        0, MembershipConfig.SLOW_HEARTBEAT_US, Math.max(1, now / 1_000), false),
                        null,
                        false);
                router.setServing(now, true);
                instances.put(instanceId, router);
            };
        }
        if (code == Wire.IN_STOP_INSTANCE) {
            return () -> instances.remove(instanceId);
        }
        RoutingPolicy policy = instance(instanceId);
        long now = reader.clock();
        return switch (code) {
            case Wire.IN_ENDPOINTS_CHANGED -> endpointsChanged(policy, now);
            case Wire.IN_REQUEST_ARRIVED -> requestArrived(policy, now);
            case Wire.IN_STREAM_STARTED -> streamStarted(policy, now);
            case Wire.IN_ATTEMPT_ENDED -> attemptEnded(policy, now);
            case Wire.IN_CLIENT_DISCONNECTED -> {
                long requestId = reader.u64();
                yield () -> policy.clientDisconnected(now, requestId);
            }
            case Wire.IN_TIMER_EXPIRED -> {
                long handle = reader.u64();
                yield () -> policy.timerExpired(now, handle);
            }
            case Wire.IN_HEALTH_CHECK_ENDED -> healthCheckEnded(policy, now);
            case Wire.IN_PEER_MESSAGE -> {
                long sender = reader.u32();
                byte[] message = reader.bytes(reader.u16());
                yield () -> policy.peerMessageReceived(now, sender, message);
            }
            default -> objectsPurged(policy, now);
        };
    }

    private Runnable endpointsChanged(RoutingPolicy policy, long now) throws IOException {
        int mode = reader.u8();
        if (mode >= LIST_MODES.length) {
            throw new FrameReader.MalformedInput("unknown endpoint list mode " + mode);
        }
        reader.u32();
        long endpointCount = reader.u32();
        List<EndpointInfo> endpoints = new ArrayList<>();
        for (long i = 0; i < endpointCount; i++) {
            int kind = reader.u16();
            long startedUs = reader.u64();
            int zone = reader.u16();
            double weight = reader.f32();
            long endpointId = reader.endpointId();
            int state = reader.u8();
            if (state >= EndpointState.values().length) {
                throw new FrameReader.MalformedInput("unknown endpoint state " + state);
            }
            endpoints.add(EndpointInfo.builder(endpointId, kind, zone)
                    .startedUs(startedUs)
                    .weight(weight)
                    .state(EndpointState.values()[state])
                    .cell(reader.u16())
                    .build());
        }
        return () -> policy.endpointsChanged(now, LIST_MODES[mode], endpoints);
    }

    private Runnable requestArrived(RoutingPolicy policy, long now) throws IOException {
        long requestId = reader.u64();
        int flags = reader.u8();
        int tenant = (int) reader.u32();
        int group = (int) reader.f32();
        double sizeKb = reader.f32();
        long timeBudgetUs = reader.u32();
        int part = (int) reader.f32();
        int profile = reader.u8();
        RoutingRequest request = RoutingRequest.builder(requestId, profile, reader.u64())
                .tenant(tenant)
                .group(group)
                .sizeKb(sizeKb)
                .timeBudgetUs(timeBudgetUs)
                .part(part)
                .clientRetry((flags & FLAG_CLIENT_RETRY) != 0)
                .write((flags & FLAG_WRITE) != 0)
                .build();
        return () -> policy.requestArrived(now, request);
    }

    private Runnable streamStarted(RoutingPolicy policy, long now) throws IOException {
        long requestId = reader.u64();
        reader.u32();
        reader.endpointId();
        int attempt = reader.u8();
        return () -> policy.streamStarted(now, requestId, attempt);
    }

    private Runnable attemptEnded(RoutingPolicy policy, long now) throws IOException {
        long requestId = reader.u64();
        int attempt = reader.u8();
        long endpointId = reader.endpointId();
        AttemptResult result = Wire.result(reader.u16());
        long durationUs = reader.u32();
        boolean requestCompleted = reader.u8() != 0;
        int cacheStatus = reader.u8();
        if (cacheStatus >= CACHE_STATUSES.length) {
            throw new FrameReader.MalformedInput("unknown cache status " + cacheStatus);
        }
        long firstByteUs = reader.u32();
        skipLoadReport();
        AttemptOutcome outcome = AttemptOutcome.builder(requestId, attempt, endpointId, result)
                .durationUs(durationUs)
                .requestCompleted(requestCompleted)
                .cacheStatus(CACHE_STATUSES[cacheStatus])
                .firstByteUs(firstByteUs)
                .build();
        return () -> policy.attemptEnded(now, outcome);
    }

    /** Skips a load report; no routing decision uses it. */
    private void skipLoadReport() throws IOException {
        int values = reader.u8();
        for (int i = 0; i < values; i++) {
            reader.f32();
        }
    }

    private Runnable healthCheckEnded(RoutingPolicy policy, long now) throws IOException {
        long durationUs = reader.u32();
        long endpointId = reader.endpointId();
        AttemptResult result = Wire.result(reader.u16());
        skipLoadReport();
        HealthCheckResult healthCheck = new HealthCheckResult(endpointId, result, durationUs);
        return () -> policy.healthCheckEnded(now, healthCheck);
    }

    private Runnable objectsPurged(RoutingPolicy policy, long now) throws IOException {
        long ageUs = reader.u32();
        long objectId = reader.u64();
        Purge purge = new Purge(ageUs, objectId, reader.u16());
        return () -> policy.objectsPurged(now, purge);
    }
}
