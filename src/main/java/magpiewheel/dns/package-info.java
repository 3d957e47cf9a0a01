/**
 * Request routing by DNS over UDP and TCP (RFC 1035, RFC 6891). Queries are parsed and their names and response codes
 * determined here; the engine supplies the addresses of serving routers and of the cache selected for an object.
 */
package magpiewheel.dns;
