import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A proxy before a server: what the server sends comes so much later, all bytes in their order, none is lost. */
final class Delay implements AutoCloseable {
    private record Chunk(byte[] bytes, long dueMs) {}

    private final String name;
    private final ServerSocket listener;

    Delay(String name, String server, long delayMs) throws IOException {
        this.name = name;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        int port = Integer.parseInt(server.substring(server.indexOf(':') + 1));
        Rig.daemon(() -> {
            while (true) {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(new InetSocketAddress("127.0.0.1", port));
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Rec.log("%s: a front connects", name);
                BlockingQueue<Chunk> chunks = new LinkedBlockingQueue<>();
                Rig.daemon(() -> copy(near, far));
                Rig.daemon(() -> read(far, chunks, delayMs));
                Rig.daemon(() -> write(chunks, near, far));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void copy(Socket near, Socket far) throws IOException {
        try (near;
                far) {
            near.getInputStream().transferTo(far.getOutputStream());
        } finally {
            Rec.log("%s: the front has closed the connection", name);
        }
    }

    private static void read(Socket far, BlockingQueue<Chunk> chunks, long delayMs) throws IOException {
        InputStream in = far.getInputStream();
        byte[] buffer = new byte[4_096];
        for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
            chunks.add(new Chunk(Arrays.copyOf(buffer, length), Rec.ms() + delayMs));
        }
        chunks.add(new Chunk(null, Rec.ms() + delayMs));
    }

    private static void write(BlockingQueue<Chunk> chunks, Socket near, Socket far) throws Exception {
        try (near;
                far) {
            for (Chunk chunk = chunks.take(); chunk.bytes != null; chunk = chunks.take()) {
                Rig.sleepUntil(chunk.dueMs);
                near.getOutputStream().write(chunk.bytes);
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
