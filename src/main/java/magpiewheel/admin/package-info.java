/**
 * The operators' interface: HTTP/1.1 at an address of its own, one call a connection, that answers without waiting for
 * any actor.
 */
package magpiewheel.admin;
