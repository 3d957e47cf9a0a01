/**
 * Membership of the fleet in the manner of SWIM: failure detection by observers in rings, dissemination of updates with
 * the heartbeats, anti-entropy by digests, a verdict on partitions, and the division of limits. Free of I/O and clocks.
 */
package magpiewheel.membership;
