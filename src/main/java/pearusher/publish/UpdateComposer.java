package pearusher.publish;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.LongFunction;
import pearusher.policy.AdmissionLevel;
import pearusher.protocol.RequestClasses;
import pearusher.protocol.UpdatePart;
import pearusher.recovery.CatchUp;

/**
 * Composes the single update that a proxy is sent in an iteration, from the published state and the
 * earlier announcements on the proxy's stream. It records the new announcements in the state of the
 * stream. Only the event-loop thread uses it. It is stateless.
 */
final class UpdateComposer {
  /** Limits the size of a part to far below the maximum message size of the protocol. */
  private static final int MAX_WEIGHTS_PER_PART = 8192;

  /**
   * The table content that one or more classes are sent; classes with equal content share parts.
   *
   * @param isComplete whether the complete table is sent, otherwise only its changes
   */
  private record TableContent(int table, boolean isComplete) {}

  private final int classCount;
  private final LongFunction<String> serverNames;
  private final Map<Integer, PublishedTable> tables;
  private final GlobalAdmissionLevels globalLevels;
  private final EjectionSelector ejections;
  private final UpdateParts updateParts;

  UpdateComposer(
      RequestClasses requestClasses,
      LongFunction<String> serverNames,
      Map<Integer, PublishedTable> tables,
      GlobalAdmissionLevels globalLevels,
      EjectionState ejections) {
    classCount = requestClasses.count();
    this.serverNames = serverNames;
    this.tables = tables;
    this.globalLevels = globalLevels;
    this.ejections = new EjectionSelector(classCount, tables, ejections);
    updateParts = new UpdateParts(requestClasses);
  }

  /** Returns the parts of a proxy's update; empty if there is nothing to send. */
  List<UpdatePart> compose(ProxyStreamState proxy, Optional<AckRequest> ackRequest) {
    List<UpdatePart> parts = new ArrayList<>();
    tableContents(proxy).forEach((content, classes) -> addTable(parts, proxy, classes, content));
    addEjections(parts, proxy, ackRequest);
    // Global levels that have not been announced yet are added to the next update.
    if (!parts.isEmpty() || !globalLevels.changed().isEmpty()) {
      addGlobalLevels(parts, proxy);
    }
    return parts;
  }

  private Map<TableContent, ClassSet> tableContents(ProxyStreamState proxy) {
    Map<TableContent, ClassSet> contents = new LinkedHashMap<>();
    for (int requestClass = 0; requestClass < classCount; requestClass++) {
      OptionalInt table = proxy.table(requestClass);
      if (table.isPresent()) {
        int number = table.getAsInt();
        boolean isComplete =
            proxy.needsCompleteTable(requestClass) || tables.get(number).isCleared();
        contents.merge(
            new TableContent(number, isComplete), ClassSet.of(requestClass), ClassSet::union);
      }
    }
    return contents;
  }

  /** Adds the weights of one table and the admission levels of the classes that are sent them. */
  private void addTable(
      List<UpdatePart> parts, ProxyStreamState proxy, ClassSet classes, TableContent content) {
    PublishedTable table = tables.get(content.table());
    Optional<CatchUp> catchUp = content.isComplete() ? Optional.empty() : proxy.catchUp();
    Map<AdmissionLevel, ClassSet> levels = levelsToSend(table, classes, content, catchUp);
    Optional<AdmissionLevel> commonLevel = commonLevel(levels, classes);
    List<Map<String, Double>> chunks = chunks(weightsToSend(table, content, catchUp));
    for (int i = 0; i < chunks.size(); i++) {
      boolean replacesTable = content.isComplete() && i == 0;
      boolean isLast = i == chunks.size() - 1;
      if (replacesTable || !chunks.get(i).isEmpty() || commonLevel.isPresent()) {
        Optional<AdmissionLevel> level = isLast ? commonLevel : Optional.empty();
        parts.add(updateParts.weights(classes, replacesTable, chunks.get(i), level));
      }
    }
    if (commonLevel.isEmpty()) {
      levels.forEach(
          (level, classesOfLevel) -> parts.add(updateParts.admission(classesOfLevel, level)));
    }
  }

  /** Returns the level to send if it is the same for all the given classes, otherwise empty. */
  private static Optional<AdmissionLevel> commonLevel(
      Map<AdmissionLevel, ClassSet> levels, ClassSet classes) {
    return levels.entrySet().stream()
        .filter(entry -> entry.getValue().equals(classes))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Returns the weights to send by server name; 0 removes a server. */
  private Map<String, Double> weightsToSend(
      PublishedTable table, TableContent content, Optional<CatchUp> catchUp) {
    Map<String, Double> weights = new LinkedHashMap<>();
    catchUp.ifPresent(missing -> weights.putAll(missing.weights()));
    for (long server : content.isComplete() ? table.servers() : table.changedServers()) {
      weights.put(serverNames.apply(server), table.weight(server));
    }
    return weights;
  }

  /** Returns the admission levels to send, each with the classes that have it. */
  private Map<AdmissionLevel, ClassSet> levelsToSend(
      PublishedTable table, ClassSet classes, TableContent content, Optional<CatchUp> catchUp) {
    ClassSet changed = table.changedLevels().union(globalLevels.changed());
    Map<AdmissionLevel, ClassSet> levels = new LinkedHashMap<>();
    classes.forEach(
        requestClass -> {
          boolean isMissing =
              catchUp.isPresent() && catchUp.get().admissionLevels().containsKey(requestClass);
          if (content.isComplete() || isMissing || changed.contains(requestClass)) {
            globalLevels
                .effective(table, requestClass)
                .ifPresent(
                    level -> levels.merge(level, ClassSet.of(requestClass), ClassSet::union));
          }
        });
    return levels;
  }

  /** Returns the weights in chunks of at most one part; a single empty chunk if there are none. */
  private static List<Map<String, Double>> chunks(Map<String, Double> weights) {
    List<Map<String, Double>> chunks = new ArrayList<>();
    Map<String, Double> chunk = new LinkedHashMap<>();
    chunks.add(chunk);
    for (Map.Entry<String, Double> entry : weights.entrySet()) {
      if (chunk.size() == MAX_WEIGHTS_PER_PART) {
        chunk = new LinkedHashMap<>();
        chunks.add(chunk);
      }
      chunk.put(entry.getKey(), entry.getValue());
    }
    return chunks;
  }

  /** Adds ejections, reinstatements and the acknowledgement request to the last part. */
  private void addEjections(
      List<UpdatePart> parts, ProxyStreamState proxy, Optional<AckRequest> ackRequest) {
    List<String> ejected = new ArrayList<>();
    List<String> reinstated = new ArrayList<>();
    ejections
        .select(proxy)
        .forEach(
            (server, isEjected) -> {
              List<String> names = isEjected ? ejected : reinstated;
              names.add(serverNames.apply(server));
              proxy.onAnnounced(server, isEjected);
            });
    boolean hasEjections = !ejected.isEmpty() || !reinstated.isEmpty();
    boolean hasContent = hasEjections || !parts.isEmpty();
    OptionalInt ackNumber =
        ackRequest
            .filter(request -> request.toAll() || hasContent)
            .map(request -> OptionalInt.of(request.number()))
            .orElse(OptionalInt.empty());
    if (hasEjections || ackNumber.isPresent()) {
      UpdatePart last = parts.isEmpty() ? updateParts.empty() : parts.remove(parts.size() - 1);
      parts.add(updateParts.withEjections(last, ejected, reinstated, ackNumber));
    }
  }

  /** Adds the global levels of classes that are not bound to a table of this assigner. */
  private void addGlobalLevels(List<UpdatePart> parts, ProxyStreamState proxy) {
    Map<AdmissionLevel, ClassSet> levels = new LinkedHashMap<>();
    for (int requestClass = 0; requestClass < classCount; requestClass++) {
      Optional<AdmissionLevel> level = globalLevels.get(requestClass);
      if (level.isPresent()
          && proxy.table(requestClass).isEmpty()
          && !proxy.isGlobalLevelAnnounced(requestClass)) {
        levels.merge(level.get(), ClassSet.of(requestClass), ClassSet::union);
        proxy.onGlobalLevelAnnounced(requestClass);
      }
    }
    levels.forEach((level, classes) -> parts.add(0, updateParts.admission(classes, level)));
  }
}
