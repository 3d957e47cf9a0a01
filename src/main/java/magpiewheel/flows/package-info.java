/**
 * The export of flows as IPFIX (RFC 7011): answers and attempts become flows in a ring, and one thread writes them to a
 * collector by templates over UDP or TCP.
 */
package magpiewheel.flows;
