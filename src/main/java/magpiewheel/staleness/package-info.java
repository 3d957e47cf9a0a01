/**
 * Reads with a staleness bound: read hints of applications, staleness bounds and their proof by the origin's clock,
 * sticky replicas, and the gossip between routers about them. Uses no system clock, sockets or threads.
 */
package magpiewheel.staleness;
