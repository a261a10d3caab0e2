package pearusher.publish;

/**
 * The policy's request for an acknowledgement of the current iteration's updates.
 *
 * @param number the acknowledgement number, which increases with each request
 * @param toAll whether the request is also sent to proxies that have no other update
 */
record AckRequest(int number, boolean toAll) {}
