/**
 * Codec of the assigner's protocol: RESP framing, typed messages, and the endpoint lists of
 * discovery. This package alone maps the names in the protocol to the terms used in the code. It
 * does no I/O and buffers at most one incomplete message per connection.
 */
package pearusher.protocol;
