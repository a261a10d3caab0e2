package pearusher.control;

import java.util.Map;
import java.util.function.Function;
import java.util.function.LongFunction;
import pearusher.policy.AdmissionLevel;
import pearusher.publish.PublishedTables;
import pearusher.recovery.CatchUp;

/**
 * The module's orders on tables, proxies and servers: each goes to the tables and, where a store is
 * on, by the server's name to the ledger. Only the decision thread uses it. It keeps nothing
 * itself.
 */
final class CommandDispatcher {
  private final PublishedTables tables;

  /** What lasts, where the operators switched it on; else null. */
  private final DurablePublisher durable;

  private final int classes;
  private final LongFunction<String> names;

  /** The same map by the numbers of the servers that are still listed. */
  private final Function<Map<String, Boolean>, Map<Long, Boolean>> numbers;

  CommandDispatcher(
      PublishedTables tables,
      DurablePublisher durable,
      int classes,
      LongFunction<String> names,
      Function<Map<String, Boolean>, Map<Long, Boolean>> numbers) {
    this.tables = tables;
    this.durable = durable;
    this.classes = classes;
    this.names = names;
    this.numbers = numbers;
  }

  void setWeight(int table, long server, double weight) {
    tables.setWeight(table, server, weight);
    if (durable != null) {
      durable.ledger().setWeight(table, names.apply(server), weight);
    }
  }

  void clearTable(int table) {
    tables.clearTable(table);
    if (durable != null) {
      durable.ledger().clearTable(table);
    }
  }

  void setEjected(long nowUs, long server, boolean out) {
    tables.setEjected(server, out);
    if (durable != null) {
      durable.ledger().setEjected(names.apply(server), out, nowUs);
    }
  }

  void bindProxy(int proxy, int table, int classBits) {
    CatchUp lacks =
        durable == null ? null : durable.bound(proxy, table, tables.coversAllClasses(classBits));
    if (lacks == null) {
      tables.bindProxy(proxy, table, classBits);
      return;
    }
    tables.bindWithCatchUp(proxy, lacks, numbers.apply(lacks.ejections()));
  }

  void setAdmission(int table, int classBits, double level, int retry) {
    tables.setAdmission(table, classBits, level, retry);
    for (int k = 0; durable != null && k < classes; k++) {
      if ((classBits == 0 || (classBits >> k & 1) != 0) && table != PublishedTables.ALL_TABLES) {
        durable.ledger().setAdmission(table, k, new AdmissionLevel(level, retry));
      }
    }
  }

  void requestAck(int number, boolean toAll) {
    tables.requestAck(number, toAll);
    if (durable != null) {
      durable.ledger().requestAck(number);
    }
  }
}
