package pearusher.config;

/**
 * Timeouts of connections, in milliseconds.
 *
 * @param connectMs limit on establishing a connection to the discovery service or a server
 * @param responseMs limit on receiving a response over an established connection
 * @param idleMs limit on the time without data from a peer that must send periodically
 * @param identificationMs limit on the time until an accepted connection identifies itself
 */
public record Timeouts(int connectMs, int responseMs, int idleMs, int identificationMs) {}
