package magpiewheel.module;

import java.nio.ByteBuffer;

/** Codes the short message by which a front shows that it lives. It carries what a lookup needs. */
record Beat(int zone, int address, long clock, boolean ready, boolean goodbye) {
    private static final byte MARK = 0x4c;
    private static final int BYTES = 16;
    private static final int READY = 1;
    private static final int GOODBYE = 2;

    static boolean is(byte[] message) {
        return message.length == BYTES && message[0] == MARK;
    }

    byte[] encode() {
        int flags = (ready ? READY : 0) | (goodbye ? GOODBYE : 0);
        return ByteBuffer.allocate(BYTES).put(MARK).put((byte) flags).putShort((short) zone).putInt(address)
                .putLong(clock).array();
    }

    /** The beat of a message for which {@link #is} holds. */
    static Beat decode(byte[] message) {
        ByteBuffer at = ByteBuffer.wrap(message, 1, BYTES - 1);
        int flags = at.get();
        int zone = Short.toUnsignedInt(at.getShort());
        int address = at.getInt();
        return new Beat(zone, address, at.getLong(), (flags & READY) != 0, (flags & GOODBYE) != 0);
    }
}
