package pearusher.publish;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import pearusher.recovery.CatchUp;

/**
 * The state of one proxy's stream: the tables to which its request classes are bound, the ejections
 * and reinstatements announced on it, and its pending acknowledgements. Only the event-loop thread
 * uses it. Its size grows with the number of announced servers and pending acknowledgements.
 */
final class ProxyStreamState {
  /** The bound table by request class; empty if the class is bound to no table of this assigner. */
  private final OptionalInt[] tables;

  /** Classes that were bound in this iteration and require their complete table. */
  private ClassSet classesToReplace = ClassSet.EMPTY;

  /**
   * The catch-up that replaces the complete table, if the proxy was bound with one this iteration.
   */
  private Optional<CatchUp> catchUp = Optional.empty();

  /** Ejections (true) and reinstatements (false) of the catch-up. */
  private Map<Long, Boolean> catchUpEjections = Map.of();

  /** Servers that were announced as ejected (true) or reinstated (false) on this stream. */
  private final Map<Long, Boolean> announced = new TreeMap<>();

  /** Whether this proxy excludes no servers other than those suspected at all proxies. */
  private boolean isConfirmed;

  /** Unbound classes whose current global admission level was announced. */
  private ClassSet announcedGlobalLevels = ClassSet.EMPTY;

  private final AckTracker acks = new AckTracker();

  ProxyStreamState(int classCount) {
    tables = new OptionalInt[classCount];
    Arrays.fill(tables, OptionalInt.empty());
  }

  /** Binds classes to a table; the next update contains the complete table. */
  void bind(ClassSet classes, int table) {
    classes.forEach(requestClass -> tables[requestClass] = OptionalInt.of(table));
    classesToReplace = classesToReplace.union(classes);
  }

  /**
   * Binds all classes to a table that the proxy already has, except for the entries in the
   * catch-up.
   *
   * @param ejections servers to announce as ejected (true) or reinstated (false)
   */
  void bindWithCatchUp(CatchUp missingEntries, Map<Long, Boolean> ejections) {
    Arrays.fill(tables, OptionalInt.of(missingEntries.table()));
    catchUp = Optional.of(missingEntries);
    catchUpEjections = ejections;
  }

  /** Returns the table to which a class is bound; empty if it is not bound. */
  OptionalInt table(int requestClass) {
    return tables[requestClass];
  }

  /** Returns whether a class was bound in this iteration and requires its complete table. */
  boolean needsCompleteTable(int requestClass) {
    return classesToReplace.contains(requestClass);
  }

  Optional<CatchUp> catchUp() {
    return catchUp;
  }

  Map<Long, Boolean> catchUpEjections() {
    return catchUpEjections;
  }

  /** Returns whether at least one class is not bound. */
  boolean hasUnboundClass() {
    return Arrays.stream(tables).anyMatch(OptionalInt::isEmpty);
  }

  /** Returns whether at least one class is bound to the given table. */
  boolean isBoundTo(int table) {
    return Arrays.stream(tables).anyMatch(bound -> bound.isPresent() && bound.getAsInt() == table);
  }

  /** Returns whether a class was bound in this iteration, with or without a catch-up. */
  boolean wasBound() {
    return catchUp.isPresent() || !classesToReplace.isEmpty();
  }

  /**
   * Marks the proxy as confirmed: it excludes no servers other than those suspected at all proxies.
   */
  void confirm() {
    isConfirmed = true;
  }

  boolean isConfirmed() {
    return isConfirmed;
  }

  /** Records that a server is announced as ejected or reinstated. */
  void onAnnounced(long server, boolean isEjected) {
    announced.put(server, isEjected);
  }

  /** Records the servers announced as ejected (true) or reinstated (false) on an earlier stream. */
  void setAnnounced(Map<Long, Boolean> ejections) {
    announced.putAll(ejections);
  }

  /** Returns whether the last announcement of a server had the given state. */
  boolean isAnnounced(long server, boolean isEjected) {
    return Boolean.valueOf(isEjected).equals(announced.get(server));
  }

  void discardServer(long server) {
    announced.remove(server);
  }

  boolean isGlobalLevelAnnounced(int requestClass) {
    return announcedGlobalLevels.contains(requestClass);
  }

  void onGlobalLevelAnnounced(int requestClass) {
    announcedGlobalLevels = announcedGlobalLevels.union(ClassSet.of(requestClass));
  }

  void onGlobalLevelsChanged(ClassSet classes) {
    announcedGlobalLevels = announcedGlobalLevels.minus(classes);
  }

  AckTracker acks() {
    return acks;
  }

  void endIteration() {
    classesToReplace = ClassSet.EMPTY;
    catchUp = Optional.empty();
    catchUpEjections = Map.of();
  }

  /** Returns the number of announcements and pending acknowledgements, plus 1 for this object. */
  int entryCount() {
    return 1 + announced.size() + acks.size();
  }
}
