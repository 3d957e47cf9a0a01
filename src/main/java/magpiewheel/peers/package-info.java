/**
 * Datagrams between fronts over UDP: an actor for each peer, one reader, and questions whether a peer's machine refuses
 * datagrams because nobody listens.
 */
package magpiewheel.peers;
