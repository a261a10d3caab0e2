package pearusher.recovery;

/**
 * The entry of a server in a table.
 *
 * @param weight weight of the server; 0 if it was removed from the table
 * @param iteration the event-loop iteration that set it
 */
record WeightEntry(double weight, long iteration) {
  boolean isInTable() {
    return weight > 0;
  }
}
