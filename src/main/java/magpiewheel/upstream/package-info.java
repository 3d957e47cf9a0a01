/**
 * Connections to endpoints in the line protocol: an actor for each endpoint, a bounded number of connections that carry
 * one request at a time, and validation of each response line before any part of the response is passed on.
 */
package magpiewheel.upstream;
