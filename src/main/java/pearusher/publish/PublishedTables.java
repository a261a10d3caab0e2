package pearusher.publish;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongFunction;
import pearusher.policy.AdmissionLevel;
import pearusher.protocol.MessageEncoder;
import pearusher.protocol.RequestClasses;
import pearusher.protocol.UpdatePart;
import pearusher.recovery.CatchUp;

/**
 * The state published to proxies: tables with weights and admission levels, global admission
 * levels, ejections, bindings, and the announcements on each proxy's stream. It combines the
 * policy's commands of one iteration, unmodified, into one update per proxy.
 *
 * <p>Only the event-loop thread uses it. Its size grows with the number of tables and their
 * servers, and with the number of proxies and the servers announced to each.
 */
public final class PublishedTables {
  /** The table number that {@link #setAdmission} interprets as all tables. */
  public static final int ALL_TABLES = 65535;

  /** Sends updates to proxies. */
  @FunctionalInterface
  public interface UpdateSender {
    /** Sends an encoded update to a proxy. */
    void send(int proxy, byte[] message);
  }

  private final RequestClasses requestClasses;
  private final Map<Integer, PublishedTable> tables = new TreeMap<>();
  private final Map<Integer, ProxyStreamState> proxies = new TreeMap<>();
  private final GlobalAdmissionLevels globalLevels;
  private final EjectionState ejections = new EjectionState();
  private final UpdateComposer composer;

  /** The acknowledgement request of this iteration; empty if the policy made none. */
  private Optional<AckRequest> ackRequest = Optional.empty();

  /**
   * Creates an empty state.
   *
   * @param classNames the names of the request classes, in the order of the settings
   * @param serverNames returns the name of a server for its number
   */
  public PublishedTables(List<String> classNames, LongFunction<String> serverNames) {
    requestClasses = new RequestClasses(classNames);
    globalLevels = new GlobalAdmissionLevels(classNames.size());
    composer = new UpdateComposer(requestClasses, serverNames, tables, globalLevels, ejections);
  }

  /** Returns the classes of a command, given as one bit per position; 0 stands for all classes. */
  public ClassSet classes(int classBits) {
    return new ClassSet(requestClasses.bits(classBits));
  }

  /** Returns whether a set contains all request classes. */
  public boolean coversAllClasses(ClassSet classes) {
    return requestClasses.coversAll(classes.bits());
  }

  /**
   * Restores a table of an earlier process, before the first iteration. It is not sent until a
   * proxy is bound to it.
   */
  public void restoreTable(
      int table, Map<Long, Double> weights, Map<Integer, AdmissionLevel> levels) {
    table(table).restore(weights, levels);
  }

  /** Restores the ejection of a server by an earlier process, before the first iteration. */
  public void restoreEjection(long server) {
    ejections.restore(server);
  }

  /** Adds a proxy that joined, without bindings, announcements or confirmation. */
  public void addProxy(int proxy) {
    proxies.put(proxy, new ProxyStreamState(requestClasses.count()));
  }

  /** Removes a proxy that left. */
  public void removeProxy(int proxy) {
    proxies.remove(proxy);
  }

  /**
   * Records the announcements that a joined proxy received on an earlier stream.
   *
   * @param ejections servers announced as ejected (true) or reinstated (false)
   */
  public void setAnnounced(int proxy, Map<Long, Boolean> ejections) {
    proxies.get(proxy).setAnnounced(ejections);
  }

  /** Confirms that a proxy excludes no servers other than those suspected at all proxies. */
  public void confirmProxy(int proxy) {
    proxies.get(proxy).confirm();
  }

  /**
   * Binds classes of a proxy to a table; the proxy's next update contains the complete table.
   * Ignored if the proxy has left.
   */
  public void bindProxy(int proxy, int table, ClassSet classes) {
    ProxyStreamState stream = proxies.get(proxy);
    if (stream != null) {
      createIfAbsent(table);
      stream.bind(classes, table);
    }
  }

  /**
   * Binds all classes of a joined proxy to a table; the proxy's next update contains only the
   * entries of the table that the proxy is missing.
   *
   * @param ejections servers to announce as ejected (true) or reinstated (false)
   */
  public void bindWithCatchUp(int proxy, CatchUp missingEntries, Map<Long, Boolean> ejections) {
    createIfAbsent(missingEntries.table());
    proxies.get(proxy).bindWithCatchUp(missingEntries, ejections);
  }

  /**
   * Removes the request that a proxy acknowledges, and all earlier requests, from those pending on
   * its stream. Implausible acknowledgements are rejected because they would distort the policy's
   * update budget.
   *
   * @param tookUs the time between request and acknowledgement that the proxy reports, in
   *     microseconds
   * @return false if no request with this number is pending on the proxy's stream, or if the
   *     request was made less than {@code tookUs} ago
   */
  public boolean acknowledge(long nowUs, int proxy, int number, long tookUs) {
    ProxyStreamState stream = proxies.get(proxy);
    return stream != null && stream.acks().onAcknowledged(number, tookUs, nowUs);
  }

  private PublishedTable table(int number) {
    return tables.computeIfAbsent(number, n -> new PublishedTable(requestClasses.count()));
  }

  private void createIfAbsent(int number) {
    table(number);
  }

  /** Sets the weight of a server in a table; 0 removes the server from the table. */
  public void setWeight(int table, long server, double weight) {
    table(table).setWeight(server, weight);
  }

  /** Removes all weights and admission levels of a table. */
  public void clearTable(int table) {
    table(table).clear();
  }

  /** Sets the admission level of classes in one table, or globally for {@link #ALL_TABLES}. */
  public void setAdmission(int table, ClassSet classes, AdmissionLevel level) {
    if (table == ALL_TABLES) {
      globalLevels.set(classes, level);
    } else {
      table(table).setLevel(classes, level);
    }
  }

  /** Ejects or reinstates a server. */
  public void setEjected(long server, boolean isEjected) {
    ejections.set(server, isEjected);
  }

  /**
   * Marks a server as suspected: another assigner or an earlier process may have ejected it. Its
   * state is announced together with its weight.
   *
   * @param allProxies whether the state is announced to all proxies; otherwise, only to those that
   *     are not confirmed
   */
  public void suspectEjection(long server, boolean allProxies) {
    ejections.suspect(server, allProxies);
  }

  /** Discards all state of a server that no table contains any longer. */
  public void discardServer(long server) {
    ejections.discard(server);
    proxies.values().forEach(proxy -> proxy.discardServer(server));
  }

  /** Requests an acknowledgement of this iteration's updates; a negative number requests none. */
  public void requestAck(int number, boolean toAll) {
    ackRequest = number < 0 ? Optional.empty() : Optional.of(new AckRequest(number, toAll));
  }

  /** Sends each proxy its update of this iteration, if any, and starts the next iteration. */
  public void publish(long nowUs, UpdateSender sender) {
    boolean isChanged = isChanged();
    proxies.forEach(
        (proxy, stream) -> {
          stream.onGlobalLevelsChanged(globalLevels.changed());
          if (isChanged || stream.wasBound()) {
            publishTo(proxy, stream, nowUs, sender);
          }
          stream.endIteration();
        });
    endIteration();
  }

  /** Returns whether the policy changed anything other than bindings in this iteration. */
  private boolean isChanged() {
    return !ejections.changed().isEmpty()
        || !globalLevels.changed().isEmpty()
        || ackRequest.isPresent()
        || tables.values().stream().anyMatch(PublishedTable::isChanged);
  }

  private void publishTo(int proxy, ProxyStreamState stream, long nowUs, UpdateSender sender) {
    List<UpdatePart> parts = composer.compose(stream, ackRequest);
    if (parts.isEmpty()) {
      return;
    }
    if (parts.stream().anyMatch(UpdateParts::requestsAck)) {
      stream.acks().onRequested(ackRequest.orElseThrow().number(), nowUs);
    }
    sender.send(proxy, MessageEncoder.encodeUpdate(parts));
  }

  private void endIteration() {
    tables.entrySet().removeIf(entry -> isUnused(entry.getKey(), entry.getValue()));
    tables.values().forEach(PublishedTable::endIteration);
    ejections.endIteration();
    globalLevels.endIteration();
    ackRequest = Optional.empty();
  }

  /**
   * Returns whether a table was cleared and no proxy is bound to it, as after a zone is removed.
   */
  private boolean isUnused(int number, PublishedTable table) {
    return table.isClearedAndEmpty()
        && proxies.values().stream().noneMatch(proxy -> proxy.isBoundTo(number));
  }

  /**
   * Returns the number of entries stored per server and per proxy, excluding the contents of
   * tables.
   */
  public int entryCount() {
    return ejections.entryCount()
        + proxies.values().stream().mapToInt(ProxyStreamState::entryCount).sum();
  }

  /** Returns the number of tables, including empty ones. */
  int tableCount() {
    return tables.size();
  }
}
