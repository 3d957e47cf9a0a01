package magpiewheel.discovery;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import magpiewheel.engine.Engine;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.routing.EndpointInfo;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.EndpointState;

/** Reads the frames of the discovery service: endpoint lists, purges and empty frames. */
final class DiscoveryFrameReader {
    private static final int RECORD_BYTES = 27;
    private static final int HEADER_BYTES = Long.BYTES + 1;
    private static final int MAX_FRAME_BYTES = 1 << 20;
    /** Microseconds in a millisecond, and the largest start time that fits a long in microseconds with a margin. */
    private static final long US_PER_MS = 1_000;

    private static final long MAX_START_MS = Long.MAX_VALUE / (4 * US_PER_MS);
    private static final double WEIGHT_UNIT = 1_000.0;

    private static final int KIND_EMPTY = 0;
    private static final int KIND_FULL_LIST = 1;
    private static final int KIND_LIST_CHANGES = 2;
    private static final int KIND_OBJECT_PURGE = 3;
    private static final int KIND_GROUP_PURGE = 4;
    private static final EndpointState[] STATE_BY_CODE = {
        EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED
    };

    private DiscoveryFrameReader() {}

    /** Reads a whole frame. */
    static DiscoveryFrame read(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new MalformedFrameException();
        }
        long revision = in.readLong();
        int kind = in.readUnsignedByte();
        int payloadLength = length - HEADER_BYTES;
        if (!isPayloadLength(kind, payloadLength)) {
            throw new MalformedFrameException();
        }
        byte[] payload = new byte[payloadLength];
        in.readFully(payload);
        return new DiscoveryFrame(revision, event(kind, ByteBuffer.wrap(payload)));
    }

    private static boolean isPayloadLength(int kind, int length) {
        return switch (kind) {
            case KIND_EMPTY -> length == 0;
            case KIND_FULL_LIST, KIND_LIST_CHANGES -> length % RECORD_BYTES == 0;
            case KIND_OBJECT_PURGE -> length == 2 * Long.BYTES;
            case KIND_GROUP_PURGE -> length == Short.BYTES + Long.BYTES;
            default -> false;
        };
    }

    private static Consumer<Engine> event(int kind, ByteBuffer payload) throws MalformedFrameException {
        return switch (kind) {
            case KIND_EMPTY -> null;
            case KIND_OBJECT_PURGE -> objectPurge(payload);
            case KIND_GROUP_PURGE -> groupPurge(payload);
            default ->
                endpointList(
                        kind == KIND_FULL_LIST ? EndpointListMode.FULL : EndpointListMode.DELTA, endpoints(payload));
        };
    }

    private static Consumer<Engine> objectPurge(ByteBuffer payload) {
        long object = payload.getLong();
        long purgedAtMs = payload.getLong();
        return engine -> engine.objectsPurged(object, 0, purgedAtMs);
    }

    private static Consumer<Engine> groupPurge(ByteBuffer payload) {
        int group = Short.toUnsignedInt(payload.getShort());
        long purgedAtMs = payload.getLong();
        return engine -> engine.objectsPurged(null, group, purgedAtMs);
    }

    private static Consumer<Engine> endpointList(EndpointListMode mode, List<ListedEndpoint> endpoints) {
        return engine -> engine.endpointsChanged(mode, endpoints);
    }

    private static List<ListedEndpoint> endpoints(ByteBuffer payload) throws MalformedFrameException {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        while (payload.hasRemaining()) {
            endpoints.add(endpoint(payload));
        }
        return endpoints;
    }

    private static ListedEndpoint endpoint(ByteBuffer payload) throws MalformedFrameException {
        long id = Integer.toUnsignedLong(payload.getInt());
        int ip = payload.getInt();
        int port = Short.toUnsignedInt(payload.getShort());
        int state = Byte.toUnsignedInt(payload.get());
        int zone = Byte.toUnsignedInt(payload.get());
        int machineType = Byte.toUnsignedInt(payload.get());
        int cell = Short.toUnsignedInt(payload.getShort());
        double weight = Integer.toUnsignedLong(payload.getInt()) / WEIGHT_UNIT;
        long startedMs = payload.getLong();
        if (state >= STATE_BY_CODE.length || startedMs < 0 || startedMs > MAX_START_MS) {
            throw new MalformedFrameException();
        }
        EndpointInfo info = EndpointInfo.builder(id, machineType, zone)
                .startedUs(startedMs * US_PER_MS)
                .weight(weight)
                .state(STATE_BY_CODE[state])
                .cell(cell)
                .build();
        return new ListedEndpoint(info, ip, port);
    }
}
