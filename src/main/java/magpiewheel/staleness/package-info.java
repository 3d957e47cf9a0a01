/**
 * Reads with a staleness bound: hints of applications, bounds, proofs by the origin's clock, sticky replicas, and what
 * routers tell each other about them. Free of clocks, sockets and threads.
 */
package magpiewheel.staleness;
