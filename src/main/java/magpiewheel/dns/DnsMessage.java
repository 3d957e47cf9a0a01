package magpiewheel.dns;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Queries and answers of RFC 1035, with the OPT record of RFC 6891. */
final class DnsMessage {
    static final int NOERROR = 0;
    static final int FORMERR = 1;
    static final int SERVFAIL = 2;
    static final int NXDOMAIN = 3;
    static final int NOTIMP = 4;
    static final int REFUSED = 5;
    static final int BADVERS = 16;
    static final int TYPE_A = 1;
    static final int TYPE_SOA = 6;
    static final int TYPE_ANY = 255;
    static final int CLASS_IN = 1;
    /** Largest answer over UDP without EDNS, and the largest that is sent unfragmented with it. */
    static final int PLAIN_BYTES = 512;

    static final int EDNS_BYTES = 1_232;
    static final int MOST_BYTES = 65_535;
    private static final int TYPE_OPT = 41;
    private static final int HEADER = 12;
    private static final int LONGEST_NAME = 255;
    private static final int LONGEST_LABEL = 63;
    private static final int QR = 0x8000;
    private static final int OPCODE = 0x7800;
    private static final int AA = 0x0400;
    private static final int TC = 0x0200;
    private static final int RD = 0x0100;
    private static final int OWNER_OF_QUESTION = 0xc000 | HEADER;
    private static final int[] SOA_TIMES = {1, 3_600, 600, 86_400, 0};

    /** A query as far as it could be read; {@code error} is its rcode where it can't be answered. */
    record Query(
            int id,
            int flags,
            byte[] question,
            List<String> labels,
            int type,
            int qclass,
            boolean edns,
            int room,
            int error) {}

    private DnsMessage() {}

    /** The query, or null for what deserves no answer: too short for a header, or itself an answer. */
    static Query parse(byte[] bytes, int length, boolean tcp) {
        if (length < HEADER) {
            return null;
        }
        ByteBuffer at = ByteBuffer.wrap(bytes, 0, length);
        int id = Short.toUnsignedInt(at.getShort());
        int flags = Short.toUnsignedInt(at.getShort());
        if ((flags & QR) != 0) {
            return null;
        }
        int plain = tcp ? MOST_BYTES : PLAIN_BYTES;
        Query bad = new Query(id, flags, new byte[0], List.of(), 0, 0, false, plain, FORMERR);
        if ((flags & OPCODE) != 0) {
            return new Query(id, flags, new byte[0], List.of(), 0, 0, false, plain, NOTIMP);
        }
        try {
            int questions = Short.toUnsignedInt(at.getShort());
            int others = Short.toUnsignedInt(at.getShort()) + Short.toUnsignedInt(at.getShort());
            int additional = Short.toUnsignedInt(at.getShort());
            if (questions != 1) {
                return bad;
            }
            List<String> labels = name(at);
            if (labels == null) {
                return bad;
            }
            int type = Short.toUnsignedInt(at.getShort());
            int qclass = Short.toUnsignedInt(at.getShort());
            byte[] question = Arrays.copyOfRange(bytes, HEADER, at.position());
            int opts = 0;
            int room = plain;
            int error = NOERROR;
            for (int i = 0; i < others + additional; i++) {
                skipName(at);
                int kind = Short.toUnsignedInt(at.getShort());
                int size = Short.toUnsignedInt(at.getShort());
                int version = at.getInt() >>> 16 & 0xff;
                int data = Short.toUnsignedInt(at.getShort());
                at.position(at.position() + data);
                if (kind == TYPE_OPT && i >= others) {
                    opts++;
                    room = tcp ? MOST_BYTES : Math.max(PLAIN_BYTES, Math.min(EDNS_BYTES, size));
                    error = version > 0 ? BADVERS : error;
                }
            }
            if (opts > 1) {
                return bad;
            }
            return new Query(id, flags, question, labels, type, qclass, opts == 1, room, error);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return bad;
        }
    }

    /** A name without pointers, in lower case; null where it is none. */
    private static List<String> name(ByteBuffer at) {
        List<String> labels = new ArrayList<>();
        int total = 1;
        for (int length = Byte.toUnsignedInt(at.get()); length != 0; length = Byte.toUnsignedInt(at.get())) {
            total += 1 + length;
            if (length > LONGEST_LABEL || total > LONGEST_NAME) {
                return null;
            }
            byte[] label = new byte[length];
            at.get(label);
            labels.add(new String(label, StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT));
        }
        return labels;
    }

    private static void skipName(ByteBuffer at) {
        for (int length = Byte.toUnsignedInt(at.get()); length != 0; length = Byte.toUnsignedInt(at.get())) {
            if (length > LONGEST_LABEL) {
                at.get();
                return;
            }
            at.position(at.position() + length);
        }
    }

    /** An answer with addresses; one that does not fit goes out without any and marked as cut. */
    static byte[] addresses(Query query, List<Integer> addresses) {
        ByteBuffer at = start(query, NOERROR, addresses.size(), 0, false);
        int room = query.room() - (query.edns() ? 11 : 0);
        if (at.position() + addresses.size() * 16 > room) {
            return finish(start(query, NOERROR, 0, 0, true), query, NOERROR);
        }
        for (int address : addresses) {
            at.putShort((short) OWNER_OF_QUESTION).putShort((short) TYPE_A).putShort((short) CLASS_IN);
            at.putInt(0).putShort((short) Integer.BYTES).putInt(address);
        }
        return finish(at, query, NOERROR);
    }

    /** An answer that names an rcode alone. */
    static byte[] bare(Query query, int rcode) {
        return finish(start(query, rcode, 0, 0, false), query, rcode);
    }

    /** NODATA or NXDOMAIN with the zone's SOA, or with {@code answer} the SOA itself. */
    static byte[] soa(Query query, int rcode, List<String> zone, boolean answer) {
        ByteBuffer at = start(query, rcode, answer ? 1 : 0, answer ? 0 : 1, false);
        putName(at, zone);
        at.putShort((short) TYPE_SOA).putShort((short) CLASS_IN).putInt(0);
        int length = at.position();
        at.putShort((short) 0);
        at.put((byte) 2).put((byte) 'n').put((byte) 's');
        putName(at, zone);
        at.put((byte) 10).put("hostmaster".getBytes(StandardCharsets.ISO_8859_1));
        putName(at, zone);
        for (int time : SOA_TIMES) {
            at.putInt(time);
        }
        at.putShort(length, (short) (at.position() - length - Short.BYTES));
        return finish(at, query, rcode);
    }

    private static void putName(ByteBuffer at, List<String> labels) {
        for (String label : labels) {
            at.put((byte) label.length()).put(label.getBytes(StandardCharsets.ISO_8859_1));
        }
        at.put((byte) 0);
    }

    private static ByteBuffer start(Query query, int rcode, int answers, int authorities, boolean cut) {
        ByteBuffer at = ByteBuffer.allocate(4_096 + answers * 16);
        at.putShort((short) query.id());
        at.putShort((short) (QR | query.flags() & (OPCODE | RD) | AA | (cut ? TC : 0) | rcode & 0xf));
        at.putShort((short) (query.question().length > 0 ? 1 : 0)).putShort((short) answers);
        at.putShort((short) authorities).putShort((short) (query.edns() ? 1 : 0));
        return at.put(query.question());
    }

    private static byte[] finish(ByteBuffer at, Query query, int rcode) {
        if (query.edns()) {
            at.put((byte) 0).putShort((short) TYPE_OPT).putShort((short) EDNS_BYTES);
            at.put((byte) (rcode >>> 4)).put((byte) 0).putShort((short) 0).putShort((short) 0);
        }
        return Arrays.copyOf(at.array(), at.position());
    }
}
