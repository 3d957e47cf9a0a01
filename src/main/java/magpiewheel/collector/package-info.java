/**
 * A collector of IPFIX over UDP and TCP, run by {@code flows collect}: it adds up what exporters sent and counts the
 * records that the sequence numbers show missing.
 */
package magpiewheel.collector;
