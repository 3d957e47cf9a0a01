package magpiewheel.flows;

import static magpiewheel.ipfix.Element.BRANCH;
import static magpiewheel.ipfix.Element.CLASS;
import static magpiewheel.ipfix.Element.CROWDED_SHARE;
import static magpiewheel.ipfix.Element.DELTA_FLOW_COUNT;
import static magpiewheel.ipfix.Element.DIRECTION;
import static magpiewheel.ipfix.Element.DOMAIN;
import static magpiewheel.ipfix.Element.ELEMENT_ID;
import static magpiewheel.ipfix.Element.ELEMENT_NAME;
import static magpiewheel.ipfix.Element.ELEMENT_SEMANTICS;
import static magpiewheel.ipfix.Element.ELEMENT_TYPE;
import static magpiewheel.ipfix.Element.END;
import static magpiewheel.ipfix.Element.END_MS;
import static magpiewheel.ipfix.Element.END_REASON;
import static magpiewheel.ipfix.Element.ENTERPRISE;
import static magpiewheel.ipfix.Element.EXPORTED_FLOWS;
import static magpiewheel.ipfix.Element.HIT;
import static magpiewheel.ipfix.Element.KIND;
import static magpiewheel.ipfix.Element.NODE;
import static magpiewheel.ipfix.Element.NOT_SENT_FLOWS;
import static magpiewheel.ipfix.Element.NOT_SENT_OCTETS;
import static magpiewheel.ipfix.Element.OBJECT;
import static magpiewheel.ipfix.Element.PAYLOAD_OCTETS;
import static magpiewheel.ipfix.Element.PIECE;
import static magpiewheel.ipfix.Element.PROTOCOL;
import static magpiewheel.ipfix.Element.SOURCE_ADDRESS;
import static magpiewheel.ipfix.Element.SOURCE_KIND;
import static magpiewheel.ipfix.Element.SOURCE_PORT;
import static magpiewheel.ipfix.Element.START_MS;
import static magpiewheel.ipfix.Element.TARGET_ADDRESS;
import static magpiewheel.ipfix.Element.TARGET_PORT;

import java.nio.ByteBuffer;
import java.util.List;
import magpiewheel.ipfix.Element;
import magpiewheel.ipfix.MessageWriter;
import magpiewheel.ipfix.Template;
import magpiewheel.pressure.HeavyHitters;
import magpiewheel.records.FlowRecord;

/** The records that a front sends: their templates, and how each is written. */
final class Layouts {
    private static final int FLOW_ID = 256;
    private static final int SUM_ID = 257;
    private static final int CROWDED_ID = 258;
    private static final int LOSS_ID = 259;
    private static final int TYPES_ID = 260;
    private static final byte TCP = 6;
    private static final byte INTO_FRONT = 0;
    private static final byte OUT_OF_FRONT = 1;
    /** RFC 5102's flowEndReason: the end of the flow was seen; cut off counts as forced. */
    private static final byte END_OF_FLOW = 3;

    private static final byte FORCED_END = 4;
    private static final int PER_MILLE = 1_000;
    private final MessageWriter out;
    private final List<String> classes;
    private final List<String> branches;
    private final int domain;
    private final long enterprise;
    private final Template flow;
    private final Template sum;
    private final Template crowded;
    private final Template loss;
    private final Template types;

    Layouts(MessageWriter out, List<String> classes, List<String> branches, int domain, long enterprise) {
        this.out = out;
        this.classes = classes;
        this.branches = branches;
        this.domain = domain;
        this.enterprise = enterprise;
        flow = out.template(
                FLOW_ID,
                0,
                List.of(
                        START_MS,
                        END_MS,
                        SOURCE_ADDRESS,
                        TARGET_ADDRESS,
                        SOURCE_PORT,
                        TARGET_PORT,
                        PROTOCOL,
                        DIRECTION,
                        END_REASON,
                        PAYLOAD_OCTETS,
                        KIND,
                        SOURCE_KIND,
                        END,
                        HIT,
                        OBJECT,
                        PIECE,
                        NODE,
                        CLASS,
                        BRANCH));
        sum = out.template(
                SUM_ID,
                0,
                List.of(
                        START_MS,
                        END_MS,
                        DELTA_FLOW_COUNT,
                        PAYLOAD_OCTETS,
                        KIND,
                        SOURCE_KIND,
                        END,
                        HIT,
                        NODE,
                        CLASS,
                        BRANCH));
        crowded = out.template(CROWDED_ID, 0, List.of(START_MS, END_MS, CROWDED_SHARE, OBJECT, PAYLOAD_OCTETS, BRANCH));
        loss = out.template(LOSS_ID, 1, List.of(DOMAIN, EXPORTED_FLOWS, NOT_SENT_FLOWS, NOT_SENT_OCTETS));
        types = out.template(
                TYPES_ID, 2, List.of(ENTERPRISE, ELEMENT_ID, ELEMENT_TYPE, ELEMENT_SEMANTICS, ELEMENT_NAME));
    }

    /** How many octets every template and type record together may take: a message must hold them all. */
    boolean templates() {
        boolean fits = out.template(flow)
                && out.template(sum)
                && out.template(crowded)
                && out.template(loss)
                && out.template(types);
        for (Element element : Element.ofOurs()) {
            fits &= out.record(types, at -> {
                at.putInt((int) enterprise)
                        .putShort((short) (element.number | 0x8000))
                        .put((byte) element.type());
                at.put((byte) element.semantics());
                MessageWriter.text(at, element.title);
            });
        }
        return fits;
    }

    boolean flow(FlowRecord record) {
        if (record.flows() > 1 || record.source() == 0 && record.target() == 0) {
            return out.record(sum, at -> {
                at.putLong(record.fromMs())
                        .putLong(record.toMs())
                        .putLong(record.flows())
                        .putLong(record.octets());
                kinds(at, record);
                at.putInt((int) record.node());
                names(at, record);
            });
        }
        return out.record(flow, at -> {
            at.putLong(record.fromMs())
                    .putLong(record.toMs())
                    .putInt(record.source())
                    .putInt(record.target());
            at.putShort((short) record.sourcePort())
                    .putShort((short) record.targetPort())
                    .put(TCP);
            at.put(record.kind() == FlowRecord.Kind.SEND ? OUT_OF_FRONT : INTO_FRONT);
            at.put(record.end() == FlowRecord.End.CUT_OFF ? FORCED_END : END_OF_FLOW)
                    .putLong(record.octets());
            kinds(at, record);
            at.putLong(record.object()).putInt(record.part()).putInt((int) record.node());
            names(at, record);
        });
    }

    private static void kinds(ByteBuffer at, FlowRecord record) {
        at.put((byte) record.kind().ordinal())
                .put((byte) record.sourceKind().ordinal())
                .put((byte) record.end().ordinal());
        at.put((byte) record.hit().ordinal());
    }

    private void names(ByteBuffer at, FlowRecord record) {
        MessageWriter.text(at, name(classes, record.profile()));
        MessageWriter.text(at, name(branches, record.branch()));
    }

    private static String name(List<String> names, int place) {
        return place >= 0 && place < names.size() ? names.get(place) : "";
    }

    boolean crowded(long fromMs, long toMs, double share, HeavyHitters.Hitter hitter, int branch) {
        return out.record(crowded, at -> {
            at.putLong(fromMs).putLong(toMs).putShort((short) Math.min(65_535, Math.round(share * PER_MILLE)));
            at.putLong(hitter.object()).putLong(hitter.octets());
            MessageWriter.text(at, name(branches, branch));
        });
    }

    boolean losses(long exported, long notSent, long notSentOctets) {
        return out.record(
                loss, at -> at.putInt(domain).putLong(exported).putLong(notSent).putLong(notSentOctets));
    }
}
