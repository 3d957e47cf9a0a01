package magpiewheel.ipfix;

import java.nio.BufferOverflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Writes one IPFIX message (RFC 7011) of bounded size after the other into the same buffer. A record that does not fit
 * is left out whole, and the message can be closed and sent. Sequence numbers count data records, of options too,
 * modulo 2^32.
 */
public final class MessageWriter {
    static final int VERSION = 10;
    static final int HEADER = 16;
    static final int SET_HEADER = 4;
    static final int TEMPLATE_SET = 2;
    static final int OPTIONS_SET = 3;
    static final int FIRST_DATA_SET = 256;
    private static final int LENGTH_AT = 2;
    private static final int SHORT_STRING = 255;
    private static final int ENTERPRISE_BIT = 0x8000;
    private final ByteBuffer out;
    private final int domain;
    private final long enterprise;
    private long sequence;
    /** The sequence number of the message closed last. */
    private long before;

    private int setAt = -1;
    private int setId;
    private int records;

    /** Messages of {@code most} octets at the largest, of an observation domain, for elements of an enterprise. */
    public MessageWriter(int most, int domain, long enterprise) {
        this(most, domain, enterprise, 0);
    }

    /** Likewise, going on behind a sequence number. */
    MessageWriter(int most, int domain, long enterprise, long sequence) {
        out = ByteBuffer.allocate(most);
        this.domain = domain;
        this.enterprise = enterprise;
        this.sequence = sequence & 0xffff_ffffL;
        begin();
    }

    private void begin() {
        out.clear();
        out.position(HEADER);
        setAt = -1;
        records = 0;
    }

    /** Whether nothing was written since the last message. */
    public boolean empty() {
        return out.position() == HEADER;
    }

    /** The number of data records written before the message in hand, modulo 2^32. */
    public long sequence() {
        return sequence;
    }

    /** Adds a template; false where it does not fit any more. */
    public boolean template(Template template) {
        return guarded(template.scope() > 0 ? OPTIONS_SET : TEMPLATE_SET, () -> {
            out.putShort((short) template.id())
                    .putShort((short) template.fields().size());
            if (template.scope() > 0) {
                out.putShort((short) template.scope());
            }
            for (Template.Field field : template.fields()) {
                out.putShort((short) (field.number() | (field.enterprise() != 0 ? ENTERPRISE_BIT : 0)));
                out.putShort((short) field.length());
                if (field.enterprise() != 0) {
                    out.putInt((int) field.enterprise());
                }
            }
        });
    }

    /** What puts a record's fields into the buffer, in the template's order. */
    public interface Body {
        /** Puts them. */
        void put(ByteBuffer at);
    }

    /** Adds a data record; false where it does not fit any more, and nothing of it is there then. */
    public boolean record(Template template, Body body) {
        boolean done = guarded(template.id(), () -> body.put(out));
        records += done ? 1 : 0;
        return done;
    }

    private boolean guarded(int set, Runnable write) {
        int from = out.position();
        int oldSet = setAt;
        int oldId = setId;
        try {
            if (setAt < 0 || setId != set) {
                setAt = from;
                setId = set;
                out.putShort((short) set).putShort((short) 0);
            }
            write.run();
            out.putShort(setAt + LENGTH_AT, (short) (out.position() - setAt));
            return true;
        } catch (BufferOverflowException e) {
            out.position(from);
            setAt = oldSet;
            setId = oldId;
            return false;
        }
    }

    /** A string in front of which its length stands (RFC 7011 section 7). */
    public static void text(ByteBuffer at, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < SHORT_STRING) {
            at.put((byte) bytes.length);
        } else {
            at.put((byte) SHORT_STRING).putShort((short) bytes.length);
        }
        at.put(bytes);
    }

    /** Ends the message, stamped with a Unix second; the bytes are good until the next call. */
    public ByteBuffer close(long unixSecond) {
        out.putShort(0, (short) VERSION).putShort(LENGTH_AT, (short) out.position());
        out.putInt(4, (int) unixSecond).putInt(8, (int) sequence).putInt(12, domain);
        before = sequence;
        sequence = sequence + records & 0xffff_ffffL;
        ByteBuffer message = out.duplicate().flip();
        begin();
        return message;
    }

    /** The message closed last never left: its records count as not written, so that no gap shows where none is. */
    public void takeBack() {
        sequence = before;
    }

    /** A field of a template for an element. */
    public Template.Field field(Element element) {
        return new Template.Field(element.number, element.own ? enterprise : 0, element.length);
    }

    /** A template of elements. */
    public Template template(int id, int scope, List<Element> elements) {
        return new Template(id, scope, elements.stream().map(this::field).toList());
    }
}
