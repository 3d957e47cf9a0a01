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

/** Drives instances of the decision module from the wire's batches. It decides nothing. */
public final class Adapter {
    private static final String USAGE = "usage: magpiewheel.jar adapter";
    private static final int CLIENT_REPEAT = 2;
    private static final int WRITE = 4;
    private static final CacheStatus[] NOTES = CacheStatus.values();
    private static final EndpointListMode[] MODES = EndpointListMode.values();
    private final Map<Integer, RoutingPolicy> instances = new HashMap<>();
    private final FrameReader reader;
    private final FrameWriter writer = new FrameWriter();
    private final OutputStream out;

    Adapter(InputStream in, OutputStream out) {
        this.reader = new FrameReader(in);
        this.out = out;
    }

    /** Exit code 0 at a clean end of input, 2 on malformed input or a wrong call. */
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
                record(code);
            }
            writer.flush(out);
        }
    }

    private void record(int code) throws IOException {
        if (code > Wire.IN_PURGED) {
            throw new FrameReader.MalformedInput("unknown record " + code);
        }
        int who = reader.u16();
        Runnable event = decode(code, who);
        reader.endRecord(code);
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            writer.text(Wire.OUT_BUG, who, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private static RoutingSettings settings(byte[] text) throws IOException {
        try {
            return Settings.parse(new String(text, StandardCharsets.UTF_8)).module();
        } catch (ConfigException e) {
            throw new FrameReader.MalformedInput("settings: " + e.getMessage());
        }
    }

    private RoutingPolicy instance(int who) throws IOException {
        RoutingPolicy found = instances.get(who);
        if (found == null) {
            throw new FrameReader.MalformedInput("record for instance " + who + ", which was not started");
        }
        return found;
    }

    private Runnable decode(int code, int who) throws IOException {
        if (code == Wire.IN_INIT) {
            long seed = reader.u64();
            RoutingSettings settings = settings(reader.bytes(reader.u32()));
            long now = reader.clock();
            return () -> {
                RoutingPolicy made = new RequestRouter(
                        settings,
                        seed,
                        writer.actionsOf(who),
                        settings.topology()
                                .membershipConfig(
                                        0, MembershipConfig.SLOW_HEARTBEAT_US, Math.max(1, now / 1_000), false),
                        null,
                        false);
                made.setServing(now, true);
                instances.put(who, made);
            };
        }
        if (code == Wire.IN_STOP) {
            return () -> instances.remove(who);
        }
        RoutingPolicy director = instance(who);
        long now = reader.clock();
        return switch (code) {
            case Wire.IN_UPDATE -> update(director, now);
            case Wire.IN_INGRESS -> ingress(director, now);
            case Wire.IN_ACCEPTED -> accepted(director, now);
            case Wire.IN_ANSWER -> answer(director, now);
            case Wire.IN_CANCELLED_BY_CLIENT -> {
                long request = reader.u64();
                yield () -> director.clientDisconnected(now, request);
            }
            case Wire.IN_BELL -> {
                long handle = reader.u64();
                yield () -> director.timerExpired(now, handle);
            }
            case Wire.IN_STATUS_BACK -> statusBack(director, now);
            case Wire.IN_MEMO -> {
                long sender = reader.u32();
                byte[] message = reader.bytes(reader.u16());
                yield () -> director.peerMessageReceived(now, sender, message);
            }
            default -> purged(director, now);
        };
    }

    private Runnable update(RoutingPolicy director, long now) throws IOException {
        int mode = reader.u8();
        if (mode >= MODES.length) {
            throw new FrameReader.MalformedInput("unknown list mode " + mode);
        }
        reader.u32();
        long rows = reader.u32();
        List<EndpointInfo> members = new ArrayList<>();
        for (long i = 0; i < rows; i++) {
            int kind = reader.u16();
            long started = reader.u64();
            int zone = reader.u16();
            double weight = reader.f32();
            long node = reader.node();
            int state = reader.u8();
            if (state >= EndpointState.values().length) {
                throw new FrameReader.MalformedInput("unknown availability " + state);
            }
            members.add(EndpointInfo.builder(node, kind, zone)
                    .startedUs(started)
                    .weight(weight)
                    .state(EndpointState.values()[state])
                    .cell(reader.u16())
                    .build());
        }
        return () -> director.endpointsChanged(now, MODES[mode], members);
    }

    private Runnable ingress(RoutingPolicy director, long now) throws IOException {
        long id = reader.u64();
        int bits = reader.u8();
        int tenant = (int) reader.u32();
        int group = (int) reader.f32();
        double kbytes = reader.f32();
        long budget = reader.u32();
        int part = (int) reader.f32();
        int profile = reader.u8();
        RoutingRequest request = RoutingRequest.builder(id, profile, reader.u64())
                .tenant(tenant)
                .group(group)
                .sizeKb(kbytes)
                .timeBudgetUs(budget)
                .part(part)
                .clientRetry((bits & CLIENT_REPEAT) != 0)
                .write((bits & WRITE) != 0)
                .build();
        return () -> director.requestArrived(now, request);
    }

    private Runnable accepted(RoutingPolicy director, long now) throws IOException {
        long request = reader.u64();
        reader.u32();
        reader.node();
        int attempt = reader.u8();
        return () -> director.streamStarted(now, request, attempt);
    }

    private Runnable answer(RoutingPolicy director, long now) throws IOException {
        long request = reader.u64();
        int attempt = reader.u8();
        long node = reader.node();
        AttemptResult result = Wire.result(reader.u16());
        long took = reader.u32();
        boolean over = reader.u8() != 0;
        int note = reader.u8();
        if (note >= NOTES.length) {
            throw new FrameReader.MalformedInput("unknown note " + note);
        }
        long firstByteUs = reader.u32();
        skipLoad();
        AttemptOutcome outcome = AttemptOutcome.builder(request, attempt, node, result)
                .durationUs(took)
                .requestCompleted(over)
                .cacheStatus(NOTES[note])
                .firstByteUs(firstByteUs)
                .build();
        return () -> director.attemptEnded(now, outcome);
    }

    /** A load report: no decision needs it. */
    private void skipLoad() throws IOException {
        int values = reader.u8();
        for (int i = 0; i < values; i++) {
            reader.f32();
        }
    }

    private Runnable statusBack(RoutingPolicy director, long now) throws IOException {
        long took = reader.u32();
        long node = reader.node();
        AttemptResult result = Wire.result(reader.u16());
        skipLoad();
        HealthCheckResult probe = new HealthCheckResult(node, result, took);
        return () -> director.healthCheckEnded(now, probe);
    }

    private Runnable purged(RoutingPolicy director, long now) throws IOException {
        long ago = reader.u32();
        long object = reader.u64();
        Purge purge = new Purge(ago, object, reader.u16());
        return () -> director.objectsPurged(now, purge);
    }
}
