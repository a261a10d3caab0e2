package pearusher.recovery;

/**
 * What a stored ledger says of itself; written with every batch.
 *
 * @param epoch number of the process that wrote it, one more with each start
 * @param iteration the last event-loop iteration that issued a command
 * @param timeUs Unix time in microseconds when it was written
 * @param lastAckNumber number of the last acknowledgement that was requested
 * @param siteNames names of the assigner, request classes and zones, which give the stored
 *     positions their meaning
 */
record LedgerHeader(long epoch, long iteration, long timeUs, int lastAckNumber, String siteNames) {}
