/**
 * SWIM-style membership of the fleet: failure detection by observers in rings, dissemination of updates with the
 * heartbeats, anti-entropy by digests, a partition verdict, and the division of limits. Performs no I/O and reads no
 * clock.
 */
package magpiewheel.membership;
