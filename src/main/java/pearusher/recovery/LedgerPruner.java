package pearusher.recovery;

/**
 * Drops the entries of servers that were removed from the tables of a ledger. Only the ledger's
 * thread uses it. It has no state of its own.
 */
final class LedgerPruner {
  private final LedgerState state;
  private final LedgerIteration currentIteration;

  /**
   * @param currentIteration receives the keys of the dropped entries
   */
  LedgerPruner(LedgerState state, LedgerIteration currentIteration) {
    this.state = state;
    this.currentIteration = currentIteration;
  }

  /** Prunes the tables that have too many entries of removed servers. */
  void prune(long iteration) {
    state.tables.forEach(
        (number, table) -> {
          if (table.needsPruning()) {
            prune(number, table, iteration);
          }
        });
  }

  /**
   * Drops the entries of removed servers that all proxies of the table have acknowledged, and the
   * older half of them in any case. Proxies that have not acknowledged the entries of that half
   * need the complete table when they rejoin.
   */
  private void prune(int number, LedgerTable table, long iteration) {
    long acknowledgedByAll = iterationAcknowledgedByAll(number, iteration);
    long limit = table.pruneLimit(acknowledgedByAll);
    if (limit > acknowledgedByAll) {
      table.historyStart = Math.max(table.historyStart, limit);
      currentIteration.addChange(LedgerKey.ofHistoryStart(number));
    }
    for (String server : table.prune(limit)) {
      currentIteration.addChange(LedgerKey.ofWeight(number, server));
    }
  }

  private long iterationAcknowledgedByAll(int table, long iteration) {
    return state.proxies.values().stream()
        .filter(proxy -> proxy.table() == table)
        .mapToLong(ProxyEntry::acknowledgedIteration)
        .min()
        .orElse(iteration);
  }
}
