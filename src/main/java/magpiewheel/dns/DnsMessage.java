package magpiewheel.dns;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Parses DNS queries and encodes responses (RFC 1035), with the OPT record of EDNS (RFC 6891). */
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
    /** Maximum response over UDP without EDNS. */
    static final int MAX_PLAIN_UDP_BYTES = 512;

    /** Maximum response over UDP with EDNS, which is sent unfragmented. */
    static final int MAX_EDNS_UDP_BYTES = 1_232;

    static final int MAX_TCP_BYTES = 65_535;
    private static final int TYPE_OPT = 41;
    private static final int HEADER_BYTES = 12;
    private static final int MAX_NAME_BYTES = 255;
    private static final int MAX_LABEL_BYTES = 63;
    private static final int QR = 0x8000;
    private static final int OPCODE = 0x7800;
    private static final int AA = 0x0400;
    private static final int TC = 0x0200;
    private static final int RD = 0x0100;
    /** Compression pointer to the name in the question, which follows the header. */
    private static final int POINTER_TO_QUESTION_NAME = 0xc000 | HEADER_BYTES;
    /** Serial number, then refresh, retry, expire and minimum times in seconds. */
    private static final int[] SOA_NUMBERS = {1, 3_600, 600, 86_400, 0};

    /**
     * A query, or the part of it that could be parsed.
     *
     * @param labels labels of the queried name, in lower case
     * @param maxResponseBytes the maximum length of the response
     * @param error the response code if the query can't be answered, else {@link #NOERROR}
     */
    record Query(
            int id,
            int flags,
            byte[] question,
            List<String> labels,
            int type,
            int qclass,
            boolean edns,
            int maxResponseBytes,
            int error) {}

    private DnsMessage() {}

    /** Parses a query; returns null if it gets no response: shorter than a header, or itself a response. */
    static Query parse(byte[] bytes, int length, boolean tcp) {
        if (length < HEADER_BYTES) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, length);
        int id = Short.toUnsignedInt(buffer.getShort());
        int flags = Short.toUnsignedInt(buffer.getShort());
        if ((flags & QR) != 0) {
            return null;
        }
        int defaultMaxBytes = tcp ? MAX_TCP_BYTES : MAX_PLAIN_UDP_BYTES;
        Query formatError = new Query(id, flags, new byte[0], List.of(), 0, 0, false, defaultMaxBytes, FORMERR);
        if ((flags & OPCODE) != 0) {
            return new Query(id, flags, new byte[0], List.of(), 0, 0, false, defaultMaxBytes, NOTIMP);
        }
        try {
            int questions = Short.toUnsignedInt(buffer.getShort());
            int answersAndAuthorities = Short.toUnsignedInt(buffer.getShort()) + Short.toUnsignedInt(buffer.getShort());
            int additional = Short.toUnsignedInt(buffer.getShort());
            if (questions != 1) {
                return formatError;
            }
            List<String> labels = readName(buffer);
            if (labels == null) {
                return formatError;
            }
            int type = Short.toUnsignedInt(buffer.getShort());
            int qclass = Short.toUnsignedInt(buffer.getShort());
            byte[] question = Arrays.copyOfRange(bytes, HEADER_BYTES, buffer.position());
            int optRecords = 0;
            int maxResponseBytes = defaultMaxBytes;
            int error = NOERROR;
            for (int i = 0; i < answersAndAuthorities + additional; i++) {
                skipName(buffer);
                int recordType = Short.toUnsignedInt(buffer.getShort());
                int recordClass = Short.toUnsignedInt(buffer.getShort());
                int version = buffer.getInt() >>> 16 & 0xff;
                int dataLength = Short.toUnsignedInt(buffer.getShort());
                buffer.position(buffer.position() + dataLength);
                if (recordType == TYPE_OPT && i >= answersAndAuthorities) {
                    optRecords++;
                    maxResponseBytes = tcp
                            ? MAX_TCP_BYTES
                            : Math.max(MAX_PLAIN_UDP_BYTES, Math.min(MAX_EDNS_UDP_BYTES, recordClass));
                    error = version > 0 ? BADVERS : error;
                }
            }
            if (optRecords > 1) {
                return formatError;
            }
            return new Query(id, flags, question, labels, type, qclass, optRecords == 1, maxResponseBytes, error);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return formatError;
        }
    }

    /** Reads an uncompressed name as lower-case labels; returns null if a label or the name is too long. */
    private static List<String> readName(ByteBuffer buffer) {
        List<String> labels = new ArrayList<>();
        int total = 1;
        for (int length = Byte.toUnsignedInt(buffer.get()); length != 0; length = Byte.toUnsignedInt(buffer.get())) {
            total += 1 + length;
            if (length > MAX_LABEL_BYTES || total > MAX_NAME_BYTES) {
                return null;
            }
            byte[] label = new byte[length];
            buffer.get(label);
            labels.add(new String(label, StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT));
        }
        return labels;
    }

    private static void skipName(ByteBuffer buffer) {
        for (int length = Byte.toUnsignedInt(buffer.get()); length != 0; length = Byte.toUnsignedInt(buffer.get())) {
            if (length > MAX_LABEL_BYTES) {
                buffer.get();
                return;
            }
            buffer.position(buffer.position() + length);
        }
    }

    /** Encodes a response with address records; if it exceeds the query's limit, one without any and with TC set. */
    static byte[] addressResponse(Query query, List<Integer> addresses) {
        ByteBuffer buffer = startResponse(query, NOERROR, addresses.size(), 0, false);
        int maxResponseBytes = query.maxResponseBytes() - (query.edns() ? 11 : 0);
        if (buffer.position() + addresses.size() * 16 > maxResponseBytes) {
            return finishResponse(startResponse(query, NOERROR, 0, 0, true), query, NOERROR);
        }
        for (int address : addresses) {
            buffer.putShort((short) POINTER_TO_QUESTION_NAME)
                    .putShort((short) TYPE_A)
                    .putShort((short) CLASS_IN);
            buffer.putInt(0).putShort((short) Integer.BYTES).putInt(address);
        }
        return finishResponse(buffer, query, NOERROR);
    }

    /** Encodes a response that carries only a response code. */
    static byte[] rcodeResponse(Query query, int rcode) {
        return finishResponse(startResponse(query, rcode, 0, 0, false), query, rcode);
    }

    /** Encodes a response with the zone's SOA record: as the answer, or as the authority of NODATA or NXDOMAIN. */
    static byte[] soaResponse(Query query, int rcode, List<String> zone, boolean asAnswer) {
        ByteBuffer buffer = startResponse(query, rcode, asAnswer ? 1 : 0, asAnswer ? 0 : 1, false);
        putName(buffer, zone);
        buffer.putShort((short) TYPE_SOA).putShort((short) CLASS_IN).putInt(0);
        int lengthPosition = buffer.position();
        buffer.putShort((short) 0);
        buffer.put((byte) 2).put((byte) 'n').put((byte) 's');
        putName(buffer, zone);
        buffer.put((byte) 10).put("hostmaster".getBytes(StandardCharsets.ISO_8859_1));
        putName(buffer, zone);
        for (int number : SOA_NUMBERS) {
            buffer.putInt(number);
        }
        buffer.putShort(lengthPosition, (short) (buffer.position() - lengthPosition - Short.BYTES));
        return finishResponse(buffer, query, rcode);
    }

    private static void putName(ByteBuffer buffer, List<String> labels) {
        for (String label : labels) {
            buffer.put((byte) label.length()).put(label.getBytes(StandardCharsets.ISO_8859_1));
        }
        buffer.put((byte) 0);
    }

    private static ByteBuffer startResponse(Query query, int rcode, int answers, int authorities, boolean truncated) {
        ByteBuffer buffer = ByteBuffer.allocate(4_096 + answers * 16);
        buffer.putShort((short) query.id());
        buffer.putShort((short) (QR | query.flags() & (OPCODE | RD) | AA | (truncated ? TC : 0) | rcode & 0xf));
        buffer.putShort((short) (query.question().length > 0 ? 1 : 0)).putShort((short) answers);
        buffer.putShort((short) authorities).putShort((short) (query.edns() ? 1 : 0));
        return buffer.put(query.question());
    }

    private static byte[] finishResponse(ByteBuffer buffer, Query query, int rcode) {
        if (query.edns()) {
            buffer.put((byte) 0).putShort((short) TYPE_OPT).putShort((short) MAX_EDNS_UDP_BYTES);
            buffer.put((byte) (rcode >>> 4)).put((byte) 0).putShort((short) 0).putShort((short) 0);
        }
        return Arrays.copyOf(buffer.array(), buffer.position());
    }
}
