package magpiewheel.adapter;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads batches and the fields of their records, all little-endian. Reading past the end of a record or of the input
 * throws {@link MalformedInput}. Not thread-safe.
 */
final class FrameReader {
    private static final int CLOCK_BYTES = 8;
    private static final int MAX_BATCH_BYTES = 1 << 30;
    private final InputStream in;
    private ByteBuffer batch = emptyBatch();
    private long clock;
    private int recordEnd;

    FrameReader(InputStream in) {
        this.in = in;
    }

    private static ByteBuffer emptyBatch() {
        return ByteBuffer.allocate(0).order(ByteOrder.LITTLE_ENDIAN);
    }

    /** Reads the next batch; returns false if the input ends before it. */
    boolean nextBatch() throws IOException {
        byte[] header = in.readNBytes(Integer.BYTES);
        if (header.length == 0) {
            return false;
        }
        if (header.length < Integer.BYTES) {
            throw new MalformedInput(
                    "input ends within a batch header: " + header.length + " of " + Integer.BYTES + " bytes");
        }
        int length = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (length < CLOCK_BYTES || length > MAX_BATCH_BYTES) {
            throw new MalformedInput("batch length " + Integer.toUnsignedString(length) + " is out of range");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new MalformedInput("input ends within a batch: " + body.length + " of " + length + " bytes");
        }
        batch = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        clock = batch.getLong();
        if (clock < 0) {
            throw new MalformedInput("batch time is negative: " + clock + " us");
        }
        return true;
    }

    /** Returns the time of the current batch, in microseconds. */
    long clock() {
        return clock;
    }

    /** Advances to the next record and returns its code, or -1 after the last record of the batch. */
    int nextRecord() throws MalformedInput {
        if (batch.remaining() == 0) {
            return -1;
        }
        if (batch.remaining() < 1 + Integer.BYTES) {
            throw new MalformedInput("batch ends within a record header: " + batch.remaining() + " of "
                    + (1 + Integer.BYTES) + " bytes");
        }
        int code = Byte.toUnsignedInt(batch.get());
        int length = batch.getInt();
        if (length < 0 || length > batch.remaining()) {
            throw new MalformedInput("record " + code + " has length " + Integer.toUnsignedString(length)
                    + ", but the batch has " + batch.remaining() + " bytes left");
        }
        recordEnd = batch.position() + length;
        return code;
    }

    /** Checks that the fields read so far make up the whole record. */
    void endRecord(int code) throws MalformedInput {
        if (batch.position() != recordEnd) {
            throw new MalformedInput(
                    "record " + code + " has " + (recordEnd - batch.position()) + " bytes after its last field");
        }
    }

    private void requireRemaining(int bytes) throws MalformedInput {
        if (bytes < 0 || recordEnd - batch.position() < bytes) {
            throw new MalformedInput(
                    "record ends within a field: " + (recordEnd - batch.position()) + " of " + bytes + " bytes");
        }
    }

    int u8() throws MalformedInput {
        requireRemaining(1);
        return Byte.toUnsignedInt(batch.get());
    }

    int u16() throws MalformedInput {
        requireRemaining(Short.BYTES);
        return Short.toUnsignedInt(batch.getShort());
    }

    long u32() throws MalformedInput {
        requireRemaining(Integer.BYTES);
        return Integer.toUnsignedLong(batch.getInt());
    }

    long u64() throws MalformedInput {
        requireRemaining(Long.BYTES);
        return batch.getLong();
    }

    double f32() throws MalformedInput {
        requireRemaining(Float.BYTES);
        return batch.getFloat();
    }

    /** Reads an endpoint id: the four bytes of the IPv4 address in network order, then the port, as one number. */
    long endpointId() throws MalformedInput {
        requireRemaining(Wire.ENDPOINT_ID_BYTES);
        long address = Integer.toUnsignedLong(Integer.reverseBytes(batch.getInt()));
        return address << Short.SIZE | u16();
    }

    byte[] bytes(long count) throws MalformedInput {
        if (count > Integer.MAX_VALUE) {
            throw new MalformedInput(
                    "record ends within a field: " + (recordEnd - batch.position()) + " of " + count + " bytes");
        }
        requireRemaining((int) count);
        byte[] data = new byte[(int) count];
        batch.get(data);
        return data;
    }

    /** Input that violates the protocol; the message is printed to standard error as it is. */
    static final class MalformedInput extends EOFException {
        private static final long serialVersionUID = 1L;

        MalformedInput(String message) {
            super(message);
        }
    }
}
