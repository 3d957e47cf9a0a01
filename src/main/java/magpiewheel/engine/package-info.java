/**
 * The engine, which runs the routing policy with its timers and manages every request, and what it needs: actors and
 * their threads, pooled buffers, local copies, counters and the clock. It is independent of the wire protocols.
 */
package magpiewheel.engine;
