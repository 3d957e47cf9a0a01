package magpiewheel.ipfix;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads IPFIX messages (RFC 7011) of one transport session, strictly: a message is taken whole or refused with the
 * offset of what is wrong, and what it held of templates is then forgotten, too. It holds so many templates at most.
 */
public final class MessageReader {
    /** One record: its values by the element's name, or {@code enterprise/number} where the name is not known. */
    public record Data(int template, boolean options, Map<String, Object> values) {}

    /** One message. */
    public record Message(
            long second, long sequence, long domain, List<Template> templates, List<Data> records, int unknownSets) {}

    /** A template is remembered by its domain and number. */
    private record Key(long domain, int id) {}

    private static final int MOST_TEMPLATES = 256;
    private static final int MOST_FIELDS = 128;
    private static final int LONG_STRING = 255;
    private static final int ENTERPRISE_BIT = 0x8000;
    private static final int ELEMENT_BITS = 0x7fff;
    private final long ours;
    private final boolean withdrawals;
    private final Map<Key, Template> templates = new HashMap<>();
    /** Names that RFC 5610 type records gave, by enterprise and number. */
    private final Map<String, String> names = new HashMap<>();

    /** For elements of an enterprise; only over a stream may templates be withdrawn or used anew. */
    public MessageReader(long enterprise, boolean stream) {
        this.ours = enterprise;
        this.withdrawals = stream;
    }

    /** The octets of the message that begins with these 4; -1 where none does. */
    public static int length(ByteBuffer first) {
        int version = Short.toUnsignedInt(first.getShort(first.position()));
        int length = Short.toUnsignedInt(first.getShort(first.position() + 2));
        return version == MessageWriter.VERSION && length >= MessageWriter.HEADER ? length : -1;
    }

    /** Reads the one message that the bytes are. */
    public Message read(ByteBuffer bytes) throws DecodeException {
        Map<Key, Template> learned = new LinkedHashMap<>();
        List<Template> seen = new ArrayList<>();
        List<Data> records = new ArrayList<>();
        int unknown = 0;
        ByteBuffer at = bytes.slice();
        if (at.remaining() < MessageWriter.HEADER) {
            throw new DecodeException(at.remaining(), "the header has 16 octets");
        }
        if (at.getShort() != MessageWriter.VERSION) {
            throw new DecodeException(0, "not version 10");
        }
        int length = Short.toUnsignedInt(at.getShort());
        if (length != at.limit()) {
            throw new DecodeException(2, "a length of " + length + " over " + at.limit() + " octets");
        }
        long second = Integer.toUnsignedLong(at.getInt());
        long sequence = Integer.toUnsignedLong(at.getInt());
        long domain = Integer.toUnsignedLong(at.getInt());
        while (at.hasRemaining()) {
            int from = at.position();
            if (at.remaining() < MessageWriter.SET_HEADER) {
                throw new DecodeException(from, "half a set header");
            }
            int id = Short.toUnsignedInt(at.getShort());
            int size = Short.toUnsignedInt(at.getShort());
            if (size < MessageWriter.SET_HEADER || size > at.limit() - from) {
                throw new DecodeException(from + 2, "a set of " + size + " octets");
            }
            ByteBuffer set = at.slice(at.position(), size - MessageWriter.SET_HEADER);
            at.position(from + size);
            int base = from + MessageWriter.SET_HEADER;
            if (id == MessageWriter.TEMPLATE_SET || id == MessageWriter.OPTIONS_SET) {
                templates(set, base, id == MessageWriter.OPTIONS_SET, domain, learned, seen);
            } else if (id < MessageWriter.FIRST_DATA_SET) {
                throw new DecodeException(from, "a set numbered " + id);
            } else {
                Template template = learned.containsKey(new Key(domain, id))
                        ? learned.get(new Key(domain, id))
                        : templates.get(new Key(domain, id));
                if (template == null) {
                    unknown++;
                } else {
                    records(set, base, template, records);
                }
            }
        }
        keep(learned);
        records.forEach(this::named);
        return new Message(second, sequence, domain, List.copyOf(seen), List.copyOf(records), unknown);
    }

    private void keep(Map<Key, Template> learned) {
        learned.forEach((key, template) -> {
            if (template == null) {
                templates.remove(key);
            } else if (templates.containsKey(key) || templates.size() < MOST_TEMPLATES) {
                templates.put(key, template);
            }
        });
    }

    private void templates(
            ByteBuffer set, int base, boolean options, long domain, Map<Key, Template> learned, List<Template> seen)
            throws DecodeException {
        // What is shorter than any template record is padding.
        while (set.remaining() >= MessageWriter.SET_HEADER) {
            int from = base + set.position();
            int id = Short.toUnsignedInt(set.getShort());
            int count = Short.toUnsignedInt(set.getShort());
            if (count == 0) {
                withdrawn(from, id, options, domain, learned);
                continue;
            }
            if (id < MessageWriter.FIRST_DATA_SET || count > MOST_FIELDS) {
                throw new DecodeException(from, "a template numbered " + id + " of " + count + " fields");
            }
            int scope = 0;
            if (options) {
                need(set, base, 2);
                scope = Short.toUnsignedInt(set.getShort());
                if (scope == 0 || scope > count) {
                    throw new DecodeException(from, "a scope of " + scope + " of " + count + " fields");
                }
            }
            List<Template.Field> fields = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                need(set, base, 4);
                int number = Short.toUnsignedInt(set.getShort());
                int size = Short.toUnsignedInt(set.getShort());
                long enterprise = 0;
                if ((number & ENTERPRISE_BIT) != 0) {
                    need(set, base, 4);
                    enterprise = Integer.toUnsignedLong(set.getInt());
                }
                fields.add(new Template.Field(number & ELEMENT_BITS, enterprise, size));
            }
            Template template = new Template(id, scope, List.copyOf(fields));
            if (template.least() == 0) {
                throw new DecodeException(from, "a template of nothing");
            }
            learned.put(new Key(domain, id), template);
            seen.add(template);
        }
        padding(set, base);
    }

    private void withdrawn(int from, int id, boolean options, long domain, Map<Key, Template> learned)
            throws DecodeException {
        if (!withdrawals) {
            throw new DecodeException(from, "a template withdrawn over UDP");
        }
        if (id == MessageWriter.TEMPLATE_SET || id == MessageWriter.OPTIONS_SET) {
            templates.forEach((key, template) -> {
                if (key.domain() == domain && template.scope() > 0 == options) {
                    learned.put(key, null);
                }
            });
            return;
        }
        learned.put(new Key(domain, id), null);
    }

    private static void need(ByteBuffer set, int base, int octets) throws DecodeException {
        if (set.remaining() < octets) {
            throw new DecodeException(
                    base + set.position(), "the set ends " + (octets - set.remaining()) + " octets early");
        }
    }

    private static void padding(ByteBuffer set, int base) throws DecodeException {
        while (set.hasRemaining()) {
            int at = base + set.position();
            if (set.get() != 0) {
                throw new DecodeException(at, "padding that is not zero");
            }
        }
    }

    private void records(ByteBuffer set, int base, Template template, List<Data> into) throws DecodeException {
        while (set.remaining() >= template.least()) {
            Map<String, Object> values = new LinkedHashMap<>();
            for (Template.Field field : template.fields()) {
                int size = field.length();
                if (field.variable()) {
                    need(set, base, 1);
                    size = Byte.toUnsignedInt(set.get());
                    if (size == LONG_STRING) {
                        need(set, base, 2);
                        size = Short.toUnsignedInt(set.getShort());
                    }
                }
                need(set, base, size);
                value(values, field, set, size);
            }
            into.add(new Data(template.id(), template.scope() > 0, values));
        }
        padding(set, base);
    }

    private void value(Map<String, Object> values, Template.Field field, ByteBuffer set, int size) {
        byte[] bytes = new byte[size];
        set.get(bytes);
        Element element = field.enterprise() == 0 || field.enterprise() == ours
                ? Element.of(field.number(), field.enterprise() != 0)
                : null;
        String name = element != null
                ? element.title
                : names.getOrDefault(
                        field.enterprise() + "/" + field.number(), field.enterprise() + "/" + field.number());
        values.put(
                name,
                field.variable() || element != null && element.length == Element.VARIABLE
                        ? new String(bytes, StandardCharsets.UTF_8)
                        : number(bytes));
    }

    /** An unsigned number of up to 8 octets, also one that was sent shorter than usual; longer ones as hex. */
    private static Object number(byte[] bytes) {
        if (bytes.length > Long.BYTES) {
            return HexFormat.of().formatHex(bytes);
        }
        long value = 0;
        for (byte octet : bytes) {
            value = value << Byte.SIZE | Byte.toUnsignedLong(octet);
        }
        return value;
    }

    /** Learns the names that type records tell. */
    private void named(Data data) {
        if (data.options()
                && data.values().get(Element.ELEMENT_NAME.title) instanceof String name
                && data.values().get(Element.ENTERPRISE.title) instanceof Long enterprise
                && data.values().get(Element.ELEMENT_ID.title) instanceof Long number
                && names.size() < MOST_TEMPLATES) {
            names.put(enterprise + "/" + (number & ELEMENT_BITS), name);
        }
    }
}
