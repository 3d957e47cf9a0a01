/**
 * Request routing by DNS over UDP and TCP (RFC 1035, RFC 6891): queries are parsed and judged here; which fronts are
 * live and which cache an object belongs to is asked of the engine.
 */
package magpiewheel.dns;
