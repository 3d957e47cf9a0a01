package magpiewheel.core;

import magpiewheel.module.Director;

/** A node of the list and where it can be reached: an IPv4 address and a port. */
public record Listed(Director.Member member, int address, int port) {}
