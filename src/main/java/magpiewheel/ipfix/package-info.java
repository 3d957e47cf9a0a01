/**
 * The wire format of IPFIX (RFC 7011): templates, information elements, a writer of messages of bounded size and a
 * strict reader. It has no sockets.
 */
package magpiewheel.ipfix;
