package magpiewheel.engine;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bytes of a known length in pooled buffers. Reference-counted: the buffers return to the pool with the last release.
 */
public final class Body {
    private final BufferPool pool;
    private final List<byte[]> buffers;
    private final int length;
    private final AtomicInteger references = new AtomicInteger(1);

    Body(BufferPool pool, List<byte[]> buffers, int length) {
        this.pool = pool;
        this.buffers = buffers;
        this.length = length;
    }

    /** Returns its length in bytes. */
    public int length() {
        return length;
    }

    /** Returns the number of its buffers. */
    public int bufferCount() {
        return buffers.size();
    }

    /** Copies so many bytes from a buffer to an offset of the body. */
    public void put(int offset, ByteBuffer from, int count) {
        for (int at = offset, remaining = count; remaining > 0; ) {
            int inBuffer = at % BufferPool.BUFFER_BYTES;
            int part = Math.min(remaining, BufferPool.BUFFER_BYTES - inBuffer);
            from.get(buffers.get(at / BufferPool.BUFFER_BYTES), inBuffer, part);
            at += part;
            remaining -= part;
        }
    }

    /** Returns the bytes from an offset on, to the end of the body or of the buffer that holds it. */
    public ByteBuffer chunkAt(int offset) {
        int inBuffer = offset % BufferPool.BUFFER_BYTES;
        int count = Math.min(length - offset, BufferPool.BUFFER_BYTES - inBuffer);
        return ByteBuffer.wrap(buffers.get(offset / BufferPool.BUFFER_BYTES), inBuffer, count);
    }

    /** Adds a reference. */
    public void retain() {
        references.incrementAndGet();
    }

    /**
     * Drops a reference; the last one returns the buffers to the pool. Throws {@link IllegalStateException} if there is
     * none.
     */
    public void release() {
        int remaining = references.decrementAndGet();
        if (remaining == 0) {
            pool.release(buffers);
        } else if (remaining < 0) {
            throw new IllegalStateException("body of " + length + " bytes released more often than retained");
        }
    }

    /** Fills it from a stream; throws {@link EOFException} if the stream ends early. */
    public void readFrom(InputStream in) throws IOException {
        for (int i = 0, remaining = length; remaining > 0; i++) {
            int chunkBytes = Math.min(remaining, BufferPool.BUFFER_BYTES);
            if (in.readNBytes(buffers.get(i), 0, chunkBytes) < chunkBytes) {
                throw new EOFException(
                        "body ended early after at least " + (length - remaining) + " of " + length + " bytes");
            }
            remaining -= chunkBytes;
        }
    }

    /** Writes all of it to a stream. */
    public void writeTo(OutputStream out) throws IOException {
        for (int i = 0, remaining = length; remaining > 0; i++) {
            int chunkBytes = Math.min(remaining, BufferPool.BUFFER_BYTES);
            out.write(buffers.get(i), 0, chunkBytes);
            remaining -= chunkBytes;
        }
    }
}
