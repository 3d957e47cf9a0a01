/**
 * Which branches belong together and which parent leads them: election by votes and leases, handover within what a cold
 * parent bears, and the pace of misses. It has no I/O; the module asks it where {@code fleet.regions} is on.
 */
package magpiewheel.region;
