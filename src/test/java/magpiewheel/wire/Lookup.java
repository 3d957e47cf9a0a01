package magpiewheel.wire;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A resolver's question to a front and what it reads in the answer. */
public final class Lookup {
    /** What an answer says. */
    public record Reply(int rcode, boolean cut, int answers, int authorities, List<String> addresses, int ttl) {}

    private Lookup() {}

    /** A question for a name, with EDNS or without. */
    public static byte[] query(String name, int type, boolean edns) {
        ByteBuffer at = ByteBuffer.allocate(512)
                .putShort((short) 4711)
                .putShort((short) 0x0100)
                .putShort((short) 1)
                .putInt(0)
                .putShort((short) (edns ? 1 : 0));
        for (String label : name.split("\\.")) {
            at.put((byte) label.length()).put(label.getBytes());
        }
        at.put((byte) 0).putShort((short) type).putShort((short) 1);
        if (edns) {
            at.put((byte) 0)
                    .putShort((short) 41)
                    .putShort((short) 1232)
                    .putInt(0)
                    .putShort((short) 0);
        }
        byte[] bytes = new byte[at.position()];
        at.flip();
        at.get(bytes);
        return bytes;
    }

    /** What the bytes of an answer say. */
    public static Reply read(byte[] bytes) throws IOException {
        ByteBuffer at = ByteBuffer.wrap(bytes);
        if (at.getShort() != 4711) {
            throw new IOException("the answer to another question");
        }
        int flags = Short.toUnsignedInt(at.getShort());
        int questions = at.getShort();
        int answers = at.getShort();
        int authorities = at.getShort();
        at.getShort();
        for (int i = 0; i < questions; i++) {
            for (int length = at.get(); length > 0; length = at.get()) {
                at.position(at.position() + length);
            }
            at.getInt();
        }
        List<String> addresses = new ArrayList<>();
        int ttl = -1;
        for (int i = 0; i < answers && (at.getShort() & 0xc000) == 0xc000; i++) {
            int type = at.getShort();
            at.getShort();
            ttl = at.getInt();
            byte[] data = new byte[at.getShort()];
            at.get(data);
            if (type == 1) {
                addresses.add(InetAddress.getByAddress(data).getHostAddress());
            }
        }
        return new Reply(flags & 0xf, (flags & 0x0200) != 0, answers, authorities, addresses, ttl);
    }

    /** Asks a server over UDP and waits so long for its answer. */
    public static Reply ask(InetSocketAddress server, byte[] query, int waitMs) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            socket.setSoTimeout(waitMs);
            socket.connect(server);
            socket.send(new DatagramPacket(query, query.length));
            DatagramPacket packet = new DatagramPacket(new byte[2_048], 2_048);
            socket.receive(packet);
            byte[] bytes = new byte[packet.getLength()];
            System.arraycopy(packet.getData(), 0, bytes, 0, bytes.length);
            return read(bytes);
        }
    }

    /** Likewise, with EDNS and much patience. */
    public static Reply ask(InetSocketAddress server, String name, int type) throws IOException {
        return ask(server, query(name, type, true), (int) Fleet.WAIT_MS);
    }
}
