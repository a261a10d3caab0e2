/**
 * Codec of the assigner's protocol: RESP framing, typed messages, and the endpoint lists of
 * discovery. The protocol's own words are mapped to the terms of this code here and nowhere else.
 * It keeps no state beyond a half-read message and does no I/O.
 */
package pearusher.protocol;
