package magpiewheel.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.RoutingActions;

/** Collects the actions of one reply and writes it. */
final class FrameWriter {
    private static final int FIRST_BYTES = 1 << 16;
    private static final int LARGEST_FIXED_RECORD = 64;
    private static final int HEADER = 2 * Integer.BYTES;
    private ByteBuffer buffer = buffer(FIRST_BYTES);
    private int records;

    FrameWriter() {
        reset();
    }

    private static ByteBuffer buffer(int size) {
        return ByteBuffer.allocate(size).order(ByteOrder.LITTLE_ENDIAN);
    }

    private void reset() {
        buffer.clear();
        buffer.position(HEADER);
        records = 0;
    }

    /** Writes and flushes the reply, and starts the next. */
    void flush(OutputStream out) throws IOException {
        buffer.putInt(0, records);
        buffer.putInt(Integer.BYTES, buffer.position() - HEADER);
        out.write(buffer.array(), 0, buffer.position());
        out.flush();
        reset();
    }

    private int begin(int code, int who, int variable) {
        if (buffer.remaining() < LARGEST_FIXED_RECORD + variable) {
            ByteBuffer larger = buffer(2 * buffer.capacity() + variable);
            buffer.flip();
            larger.put(buffer);
            buffer = larger;
        }
        records++;
        buffer.put((byte) code).putInt(0);
        int start = buffer.position();
        buffer.putShort((short) who);
        return start;
    }

    private void end(int start) {
        buffer.putInt(start - Integer.BYTES, buffer.position() - start);
    }

    private void node(long node) {
        buffer.putInt(Integer.reverseBytes((int) (node >>> Short.SIZE))).putShort((short) node);
    }

    /** A record whose only field is text, cut to what its length can say. */
    void text(int code, int who, String message) {
        byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
        byte[] cut = bytes.length > 0xffff ? Arrays.copyOf(bytes, 0xffff) : bytes;
        int start = begin(code, who, cut.length);
        buffer.putShort((short) cut.length).put(cut);
        end(start);
    }

    /** The actions of one instance. */
    RoutingActions actionsOf(int who) {
        return new InstanceActions(who);
    }

    private final class InstanceActions implements RoutingActions {
        private final int who;

        InstanceActions(int who) {
            this.who = who;
        }

        @Override
        public void startAttempt(long request, long node, AttemptPlan plan) {
            int start = begin(Wire.OUT_READ_THROUGH, who, 0);
            buffer.putLong(request);
            node(node);
            int manner = (plan.joinFill() ? Wire.JOIN : 0)
                    | (plan.cachedOnly() ? Wire.HELD_ONLY : 0)
                    | (plan.bypassParentCache() ? Wire.PARENT_KEEPS_NONE : 0)
                    | (plan.revalidate() ? Wire.RENEW : 0);
            buffer.put((byte) plan.retentionRank()).putLong(plan.deadlineUs()).put((byte) manner);
            node(plan.fillSource());
            buffer.putInt((int) Math.min(plan.maxAgeUs(), 0xffffffffL));
            end(start);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            int start = begin(Wire.OUT_CANCEL, who, 0);
            buffer.putLong(request).put((byte) attempt);
            end(start);
        }

        @Override
        public void reject(long request, long backoffUs) {
            int start = begin(Wire.OUT_SHED, who, 0);
            buffer.putLong(request).putInt((int) Math.min(backoffUs, 0xffffffffL));
            end(start);
        }

        @Override
        public void fail(long request) {
            int start = begin(Wire.OUT_REPORT_FAILURE, who, 0);
            buffer.putLong(request);
            end(start);
        }

        @Override
        public void setTimer(long atUs, long handle) {
            int start = begin(Wire.OUT_REMIND, who, 0);
            buffer.putLong(atUs).putLong(handle);
            end(start);
        }

        @Override
        public void checkHealth(long node) {
            int start = begin(Wire.OUT_POLL, who, 0);
            node(node);
            end(start);
        }

        @Override
        public void sendToPeer(int recipient, byte[] message) {
            int start = begin(Wire.OUT_SAY, who, message.length);
            buffer.putShort((short) recipient).putShort((short) message.length).put(message);
            end(start);
        }

        @Override
        public void subscribe(boolean on) {
            int start = begin(Wire.OUT_SUBSCRIBE, who, 0);
            buffer.put((byte) (on ? 1 : 0));
            end(start);
        }

        @Override
        public void fetchEndpointList() {
            end(begin(Wire.OUT_QUERY_ALL, who, 0));
        }

        @Override
        public void log(String line) {
            text(Wire.OUT_PRINT, who, line);
        }
    }
}
