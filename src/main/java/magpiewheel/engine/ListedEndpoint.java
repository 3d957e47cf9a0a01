package magpiewheel.engine;

import magpiewheel.routing.EndpointInfo;

/** A node of the list and where it can be reached: an IPv4 address and a port. */
public record ListedEndpoint(EndpointInfo info, int address, int port) {}
