package pearusher.config;

/**
 * Timeouts of connections, in milliseconds.
 *
 * @param connectMs how long a connection to discovery or a server may take to come up
 * @param responseMs how long a response may take once its connection is up
 * @param idleMs how long a peer that must send something may stay silent
 * @param identificationMs how long an accepted connection may stay unidentified
 */
public record Timeouts(int connectMs, int responseMs, int idleMs, int identificationMs) {}
