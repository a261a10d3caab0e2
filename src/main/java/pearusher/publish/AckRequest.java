package pearusher.publish;

/**
 * The policy's request for an acknowledgement of this iteration's updates.
 *
 * @param number rises from request to request
 * @param toAll whether proxies without any other update are sent the request as well
 */
record AckRequest(int number, boolean toAll) {}
