package pearusher.recovery;

/**
 * A server's entry in a table.
 *
 * @param weight 0: the server was taken out of the table
 * @param iteration the event-loop iteration that set it
 */
record WeightEntry(double weight, long iteration) {
  boolean isListed() {
    return weight > 0;
  }
}
