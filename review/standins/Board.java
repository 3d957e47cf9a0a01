import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A notice board: it keeps numbered events, and tells each connection those behind the number it asks for, then an empty
 * frame at once and each second.
 */
final class Board implements AutoCloseable {
    private record Event(long number, byte[] frame) {}

    private final String name;
    private final ServerSocket listener;
    private final List<Event> events;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;


    /** A board that knows the events of another one, which may be null. */
    Board(String name, Board same) throws IOException {
        this.name = name;
        this.events = same == null ? new ArrayList<>() : same.events;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Rig.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                open.add(socket);
                Rig.daemon(() -> tell(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void tell(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            long last = new DataInputStream(socket.getInputStream()).readLong();
            Rec.log("%s asked for what is behind event %d", name, last);
            OutputStream out = socket.getOutputStream();
            long emptyAt = 0;
            while (!closed) {
                long highest = last;
                for (Event event : behind(last)) {
                    out.write(event.frame);
                    highest = event.number;
                    Rec.log("%s told event %d", name, event.number);
                }
                last = highest;
                if (Rec.ms() >= emptyAt) {
                    out.write(frame(last, 0, new byte[0]));
                    emptyAt = Rec.ms() + 1_000;
                }
                sleep(20);
            }
        } catch (IOException e) {
            Rec.log("%s: the front has left the connection (%s)", name, e.getMessage());
        } finally {
            open.remove(socket);
        }
    }

    private List<Event> behind(long number) {
        synchronized (events) {
            return events.stream().filter(event -> event.number > number).toList();
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Puts the purge of an object, made now, into the board. */
    void purge(long number, long object, long unixMs) throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(payload);
        data.writeLong(object);
        data.writeLong(unixMs);
        synchronized (events) {
            events.add(new Event(number, frame(number, 3, payload.toByteArray())));
        }
        Rec.log("%s has event %d: purge of object %016x at %d", name, number, object, unixMs);
    }

    private static byte[] frame(long number, int kind, byte[] payload) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(9 + payload.length);
        out.writeLong(number);
        out.writeByte(kind);
        out.write(payload);
        return bytes.toByteArray();
    }

    /** Accepts no new connection; the open ones are closed after a time. */
    void retire(long afterMs) throws IOException {
        Rec.log("%s accepts no new connection and closes the open ones after %d ms", name, afterMs);
        listener.close();
        Rig.daemon(() -> {
            sleep(afterMs);
            closed = true;
            for (Socket socket : open) {
                socket.close();
            }
        });
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
