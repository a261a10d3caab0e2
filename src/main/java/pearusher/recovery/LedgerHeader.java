package pearusher.recovery;

/**
 * The header of a stored ledger, which is written with every batch.
 *
 * @param epoch number of the process that wrote it, which increases by one with each start
 * @param iteration the last event-loop iteration that issued a command
 * @param timeUs Unix time of the write in microseconds
 * @param lastAckNumber number of the last acknowledgement that was requested
 * @param configuredNames names of the assigner, request classes and zones, which give the stored
 *     positions their meaning
 */
record LedgerHeader(
    long epoch, long iteration, long timeUs, int lastAckNumber, String configuredNames) {}
