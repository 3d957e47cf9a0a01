package magpiewheel.engine;

import magpiewheel.routing.EndpointInfo;

/** An endpoint of the endpoint list, with the IPv4 address and port at which it can be reached. */
public record ListedEndpoint(EndpointInfo info, int address, int port) {}
