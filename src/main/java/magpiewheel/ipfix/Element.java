package magpiewheel.ipfix;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Information elements that this program writes or names. Those of IANA keep the number and meaning that its registry
 * gives them; the program's own go under a configured enterprise number and are described to collectors as RFC 5610 has
 * it.
 */
public enum Element {
    DELTA_FLOW_COUNT(3, 8, "deltaFlowCount"),
    PROTOCOL(4, 1, "protocolIdentifier"),
    SOURCE_PORT(7, 2, "sourceTransportPort"),
    SOURCE_ADDRESS(8, 4, "sourceIPv4Address"),
    TARGET_PORT(11, 2, "destinationTransportPort"),
    TARGET_ADDRESS(12, 4, "destinationIPv4Address"),
    EXPORTED_FLOWS(42, 8, "exportedFlowRecordTotalCount"),
    DIRECTION(61, 1, "flowDirection"),
    END_REASON(136, 1, "flowEndReason"),
    DOMAIN(149, 4, "observationDomainId"),
    START_MS(152, 8, "flowStartMilliseconds"),
    END_MS(153, 8, "flowEndMilliseconds"),
    NOT_SENT_FLOWS(165, 8, "notSentFlowTotalCount"),
    NOT_SENT_OCTETS(168, 8, "notSentOctetTotalCount"),
    ELEMENT_ID(303, 2, "informationElementId"),
    ELEMENT_TYPE(339, 1, "informationElementDataType"),
    ELEMENT_NAME(341, Element.VARIABLE, "informationElementName"),
    ELEMENT_SEMANTICS(344, 1, "informationElementSemantics"),
    ENTERPRISE(346, 4, "privateEnterpriseNumber"),
    /** Payload only: octetDeltaCount (1) counts IP headers, which no process sees. */
    PAYLOAD_OCTETS(401, 8, "transportOctetDeltaCount"),
    KIND(1, 1, "magpiewheelFlowKind", true),
    CLASS(2, Element.VARIABLE, "magpiewheelClass", true),
    BRANCH(3, Element.VARIABLE, "magpiewheelBranch", true),
    SOURCE_KIND(4, 1, "magpiewheelSourceKind", true),
    END(5, 1, "magpiewheelEnd", true),
    HIT(6, 1, "magpiewheelHit", true),
    OBJECT(7, 8, "magpiewheelObject", true),
    PIECE(8, 4, "magpiewheelPiece", true),
    NODE(9, 4, "magpiewheelNode", true),
    CROWDED_SHARE(10, 2, "magpiewheelCrowdedShare", true);

    /** The length that a template gives an element whose length each record tells. */
    public static final int VARIABLE = 65_535;

    private static final Map<Integer, Element> IANA = new HashMap<>();
    private static final Map<Integer, Element> OWN = new HashMap<>();

    /** Its number under IANA or under the enterprise. */
    public final int number;
    /** Octets, or {@link #VARIABLE}. */
    public final int length;
    /** Its name in camel case, as collectors print it. */
    public final String title;
    /** Whether it is the program's own. */
    public final boolean own;

    static {
        for (Element element : values()) {
            (element.own ? OWN : IANA).put(element.number, element);
        }
    }

    Element(int number, int length, String title) {
        this(number, length, title, false);
    }

    Element(int number, int length, String title, boolean own) {
        this.number = number;
        this.length = length;
        this.title = title;
        this.own = own;
    }

    /** The element of a number; null for one that the program does not know. */
    public static Element of(int number, boolean own) {
        return (own ? OWN : IANA).get(number);
    }

    /** The program's own. */
    public static List<Element> ofOurs() {
        List<Element> ours = new ArrayList<>();
        for (Element element : values()) {
            if (element.own) {
                ours.add(element);
            }
        }
        return ours;
    }

    /** Its type as RFC 5610 numbers them: unsigned of its length, or a string. */
    public int type() {
        return switch (length) {
            case 1 -> 1;
            case 2 -> 2;
            case 4 -> 3;
            case 8 -> 4;
            default -> 13;
        };
    }

    /** Its semantics as RFC 5610 numbers them: an identifier. */
    public int semantics() {
        return 4;
    }
}
