/**
 * UDP datagrams between routers: an actor for each peer, one reader, and probes of whether a peer's host refuses
 * datagrams because no process listens.
 */
package magpiewheel.peers;
