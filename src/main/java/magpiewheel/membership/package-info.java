/**
 * Which fronts of the fleet are there: a failure detector with gossip, free of I/O and driven by the time it is given,
 * the verdict on the front's own view, and how limits of the whole fleet are divided.
 */
package magpiewheel.membership;
