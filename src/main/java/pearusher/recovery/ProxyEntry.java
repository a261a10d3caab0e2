package pearusher.recovery;

/**
 * Which table a proxy follows and how much of it the proxy has confirmed.
 *
 * @param completeIteration the event-loop iteration that sent the complete table
 * @param acknowledgedIteration the last iteration that the proxy acknowledged, 0 for none
 */
record ProxyEntry(int table, long completeIteration, long acknowledgedIteration) {}
