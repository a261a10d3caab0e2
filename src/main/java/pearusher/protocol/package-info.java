/**
 * Codec of the assigner's protocol: RESP framing, typed messages, and the endpoint lists of
 * discovery. The protocol's own names are mapped to the terms of this code here and nowhere else.
 * It holds at most one incomplete message a connection and does no I/O.
 */
package pearusher.protocol;
