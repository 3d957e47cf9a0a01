package magpiewheel.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.RoutingActions;

/** Encodes actions as records of the reply to one batch and writes the reply. Not thread-safe. */
final class FrameWriter {
    private static final int INITIAL_CAPACITY_BYTES = 1 << 16;
    /** Upper bound for the fixed-length fields of a record. */
    private static final int MAX_FIXED_RECORD_BYTES = 64;

    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private ByteBuffer buffer = buffer(INITIAL_CAPACITY_BYTES);
    private int recordCount;

    FrameWriter() {
        reset();
    }

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    private void reset() {
        buffer.clear();
        buffer.position(HEADER_BYTES);
        recordCount = 0;
    }

    /** Writes the reply, flushes the stream and starts an empty reply. */
    void flush(OutputStream out) throws IOException {
        buffer.putInt(0, recordCount);
        buffer.putInt(Integer.BYTES, buffer.position() - HEADER_BYTES);
        out.write(buffer.array(), 0, buffer.position());
        out.flush();
        reset();
    }

    private int beginRecord(int code, int instanceId, int variableBytes) {
        if (buffer.remaining() < MAX_FIXED_RECORD_BYTES + variableBytes) {
            ByteBuffer larger = buffer(2 * buffer.capacity() + variableBytes);
            buffer.flip();
            larger.put(buffer);
            buffer = larger;
        }
        recordCount++;
        buffer.put((byte) code).putInt(0);
        int start = buffer.position();
        buffer.putShort((short) instanceId);
        return start;
    }

    private void endRecord(int start) {
        buffer.putInt(start - Integer.BYTES, buffer.position() - start);
    }

    private void putEndpointId(long endpointId) {
        buffer.putInt(Integer.reverseBytes((int) (endpointId >>> Short.SIZE))).putShort((short) endpointId);
    }

    /** Adds a record with one text field, truncated to the 65,535 bytes that its 16-bit length field can express. */
    void textRecord(int code, int instanceId, String message) {
        byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
        byte[] truncated = bytes.length > 0xffff ? Arrays.copyOf(bytes, 0xffff) : bytes;
        int start = beginRecord(code, instanceId, truncated.length);
        buffer.putShort((short) truncated.length).put(truncated);
        endRecord(start);
    }

    /** Returns actions that add records for one instance to the reply. */
    RoutingActions actionsOf(int instanceId) {
        return new InstanceActions(instanceId);
    }

    private final class InstanceActions implements RoutingActions {
        private final int instanceId;

        InstanceActions(int instanceId) {
            this.instanceId = instanceId;
        }

        @Override
        public void startAttempt(long requestId, long endpointId, AttemptPlan plan) {
            int start = beginRecord(Wire.OUT_START_ATTEMPT, instanceId, 0);
            buffer.putLong(requestId);
            putEndpointId(endpointId);
            int flags = (plan.joinFill() ? Wire.FLAG_JOIN_FILL : 0)
                    | (plan.cachedOnly() ? Wire.FLAG_CACHED_ONLY : 0)
                    | (plan.bypassParentCache() ? Wire.FLAG_BYPASS_PARENT_CACHE : 0)
                    | (plan.revalidate() ? Wire.FLAG_REVALIDATE : 0);
            buffer.put((byte) plan.retentionRank()).putLong(plan.deadlineUs()).put((byte) flags);
            putEndpointId(plan.fillSource());
            buffer.putInt((int) Math.min(plan.maxAgeUs(), 0xffffffffL));
            endRecord(start);
        }

        @Override
        public void cancelAttempt(long requestId, int attempt) {
            int start = beginRecord(Wire.OUT_CANCEL_ATTEMPT, instanceId, 0);
            buffer.putLong(requestId).put((byte) attempt);
            endRecord(start);
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            int start = beginRecord(Wire.OUT_REJECT, instanceId, 0);
            buffer.putLong(requestId).putInt((int) Math.min(retryAfterUs, 0xffffffffL));
            endRecord(start);
        }

        @Override
        public void fail(long requestId) {
            int start = beginRecord(Wire.OUT_FAIL, instanceId, 0);
            buffer.putLong(requestId);
            endRecord(start);
        }

        @Override
        public void setTimer(long atUs, long handle) {
            int start = beginRecord(Wire.OUT_SET_TIMER, instanceId, 0);
            buffer.putLong(atUs).putLong(handle);
            endRecord(start);
        }

        @Override
        public void checkHealth(long endpointId) {
            int start = beginRecord(Wire.OUT_CHECK_HEALTH, instanceId, 0);
            putEndpointId(endpointId);
            endRecord(start);
        }

        @Override
        public void sendToPeer(int router, byte[] message) {
            int start = beginRecord(Wire.OUT_SEND_TO_PEER, instanceId, message.length);
            buffer.putShort((short) router).putShort((short) message.length).put(message);
            endRecord(start);
        }

        @Override
        public void subscribe(boolean on) {
            int start = beginRecord(Wire.OUT_SUBSCRIBE, instanceId, 0);
            buffer.put((byte) (on ? 1 : 0));
            endRecord(start);
        }

        @Override
        public void fetchEndpointList() {
            endRecord(beginRecord(Wire.OUT_FETCH_ENDPOINT_LIST, instanceId, 0));
        }

        @Override
        public void log(String line) {
            textRecord(Wire.OUT_LOG, instanceId, line);
        }
    }
}
