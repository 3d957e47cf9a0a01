/**
 * Tests of the program as a process over real connections: each wire with its client, stand-in nodes, and the start,
 * reload and end of a front.
 */
package magpiewheel.wire;
