package magpiewheel.engine;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

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
    int buffers() {
        return buffers.size();
    }

    /** Returns its first buffer, for callers that need just one buffer. */
    public byte[] firstBuffer() {
        return buffers.get(0);
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
        writeTo(out, writtenBytes -> {});
    }

    /** Writes all of it to a stream, and calls back with the number of bytes after each write of one buffer. */
    public void writeTo(OutputStream out, IntConsumer written) throws IOException {
        for (int i = 0, remaining = length; remaining > 0; i++) {
            int chunkBytes = Math.min(remaining, BufferPool.BUFFER_BYTES);
            out.write(buffers.get(i), 0, chunkBytes);
            written.accept(chunkBytes);
            remaining -= chunkBytes;
        }
    }
}
