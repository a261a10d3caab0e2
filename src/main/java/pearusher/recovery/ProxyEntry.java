package pearusher.recovery;

/**
 * The table that a proxy follows, and the last state of it that the proxy acknowledged.
 *
 * @param table number of the table
 * @param completeIteration the event-loop iteration that sent the complete table
 * @param acknowledgedIteration the last iteration that the proxy acknowledged, 0 for none
 */
record ProxyEntry(int table, long completeIteration, long acknowledgedIteration) {}
