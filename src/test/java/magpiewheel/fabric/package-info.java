/**
 * Fleets of real processes whose datagrams and connections pass through relays that tests can cut, delay, lose and
 * reorder, with stand-ins for caches, parents, the origin and the board; tests and measurements of faults run on it.
 */
package magpiewheel.fabric;
