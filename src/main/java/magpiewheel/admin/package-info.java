/**
 * The admin interface for operators: an HTTP/1.1 server at a separate address, with one request per connection, that
 * responds without waiting for any actor.
 */
package magpiewheel.admin;
