package pearusher.publish;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import pearusher.recovery.CatchUp;

/**
 * What one proxy's stream is bound to, which ejections and reinstatements were announced on it, and
 * its pending acknowledgements. Only the event-loop thread uses it. It grows with the servers that
 * were announced, and with the pending acknowledgements.
 */
final class ProxyStreamState {
  /** By request class; empty where the proxy is bound to no table of this assigner. */
  private final OptionalInt[] tables;

  /** Classes that were bound in this iteration and are sent their complete table. */
  private ClassSet classesToReplace = ClassSet.EMPTY;

  /** What the proxy is sent in place of its complete table, if it was bound so this iteration. */
  private Optional<CatchUp> catchUp = Optional.empty();

  /** Ejections (true) and reinstatements that belong to the catch-up. */
  private Map<Long, Boolean> catchUpEjections = Map.of();

  /** Servers that were announced as ejected (true) or reinstated on this stream. */
  private final Map<Long, Boolean> announced = new TreeMap<>();

  /** Whether only servers that are suspected at all proxies may be ejected at this one. */
  private boolean isConfirmed;

  /** Classes whose global admission level was announced while they were not bound. */
  private ClassSet announcedGlobalLevels = ClassSet.EMPTY;

  private final AckTracker acks = new AckTracker();

  ProxyStreamState(int classCount) {
    tables = new OptionalInt[classCount];
    Arrays.fill(tables, OptionalInt.empty());
  }

  /** Binds classes to a table, which is sent to the proxy completely. */
  void bind(ClassSet classes, int table) {
    classes.forEach(requestClass -> tables[requestClass] = OptionalInt.of(table));
    classesToReplace = classesToReplace.union(classes);
  }

  /** Binds all classes to a table of which the proxy lacks only a part. */
  void bindWithCatchUp(CatchUp lacking, Map<Long, Boolean> ejections) {
    Arrays.fill(tables, OptionalInt.of(lacking.table()));
    catchUp = Optional.of(lacking);
    catchUpEjections = ejections;
  }

  /** Returns the table to which a class is bound. */
  OptionalInt table(int requestClass) {
    return tables[requestClass];
  }

  /** Whether a class was bound in this iteration and needs its complete table. */
  boolean needsCompleteTable(int requestClass) {
    return classesToReplace.contains(requestClass);
  }

  Optional<CatchUp> catchUp() {
    return catchUp;
  }

  Map<Long, Boolean> catchUpEjections() {
    return catchUpEjections;
  }

  /** Whether some class is not bound. */
  boolean hasUnboundClass() {
    return Arrays.stream(tables).anyMatch(OptionalInt::isEmpty);
  }

  /** Whether some class is bound to a table. */
  boolean isBoundTo(int table) {
    return Arrays.stream(tables).anyMatch(bound -> bound.isPresent() && bound.getAsInt() == table);
  }

  /** Whether a class was bound in this iteration, in either way. */
  boolean wasBound() {
    return catchUp.isPresent() || !classesToReplace.isEmpty();
  }

  void confirm() {
    isConfirmed = true;
  }

  boolean isConfirmed() {
    return isConfirmed;
  }

  /** Notes that a server is announced as ejected or reinstated. */
  void onAnnounced(long server, boolean isEjected) {
    announced.put(server, isEjected);
  }

  /** Notes what was announced to the proxy on an earlier stream. */
  void setAnnounced(Map<Long, Boolean> ejections) {
    announced.putAll(ejections);
  }

  /** Whether the last announcement of a server was this one. */
  boolean isAnnounced(long server, boolean isEjected) {
    return Boolean.valueOf(isEjected).equals(announced.get(server));
  }

  void forgetServer(long server) {
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

  /** Returns the pending acknowledgements of this stream. */
  AckTracker acks() {
    return acks;
  }

  void endIteration() {
    classesToReplace = ClassSet.EMPTY;
    catchUp = Optional.empty();
    catchUpEjections = Map.of();
  }

  /** Returns the size of what is stored: itself, announcements and pending acknowledgements. */
  int size() {
    return 1 + announced.size() + acks.size();
  }
}
