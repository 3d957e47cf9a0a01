package magpiewheel.engine;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

/** Bytes of a known length in pooled buffers, which go back when the last holder lets go. */
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

    /** How many bytes it has. */
    public int length() {
        return length;
    }

    /** How many buffers it takes. */
    int buffers() {
        return buffers.size();
    }

    /** The first of its buffers, for those who want just a buffer. */
    public byte[] firstBuffer() {
        return buffers.get(0);
    }

    /** One holder more. */
    public void retain() {
        references.incrementAndGet();
    }

    /** One holder less. */
    public void release() {
        int remaining = references.decrementAndGet();
        if (remaining == 0) {
            pool.release(buffers);
        } else if (remaining < 0) {
            throw new IllegalStateException("a body was released twice");
        }
    }

    /** Fills it from a stream. */
    public void readFrom(InputStream in) throws IOException {
        for (int i = 0, remaining = length; remaining > 0; i++) {
            int chunkBytes = Math.min(remaining, BufferPool.BUFFER_BYTES);
            if (in.readNBytes(buffers.get(i), 0, chunkBytes) < chunkBytes) {
                throw new EOFException("the body ends early");
            }
            remaining -= chunkBytes;
        }
    }

    /** Writes it all to a stream. */
    public void writeTo(OutputStream out) throws IOException {
        writeTo(out, writtenBytes -> {});
    }

    /** Likewise, and tells after each part how long that was. */
    public void writeTo(OutputStream out, IntConsumer written) throws IOException {
        for (int i = 0, remaining = length; remaining > 0; i++) {
            int chunkBytes = Math.min(remaining, BufferPool.BUFFER_BYTES);
            out.write(buffers.get(i), 0, chunkBytes);
            written.accept(chunkBytes);
            remaining -= chunkBytes;
        }
    }
}
