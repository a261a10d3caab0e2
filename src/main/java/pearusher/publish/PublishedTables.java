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
 * The state that proxies are sent: tables with weights and admission levels, global admission
 * levels, ejections, bindings, and what was announced to each proxy on its stream. It turns the
 * policy's commands of one iteration into one update per proxy and changes nothing about them.
 *
 * <p>Only the event-loop thread uses it. It grows with the tables and their servers, and with the
 * proxies and the servers that were announced to each.
 */
public final class PublishedTables {
  /** The table number that stands for all tables in {@link #setAdmission}. */
  public static final int ALL_TABLES = 65535;

  /** Sends a proxy its update. */
  @FunctionalInterface
  public interface UpdateSender {
    /** Sends an encoded update. */
    void send(int proxy, byte[] message);
  }

  private final RequestClasses requestClasses;
  private final Map<Integer, PublishedTable> tables = new TreeMap<>();
  private final Map<Integer, ProxyStreamState> proxies = new TreeMap<>();
  private final GlobalAdmissionLevels globalLevels;
  private final EjectionState ejections = new EjectionState();
  private final UpdateComposer composer;

  /** The request of this iteration. */
  private Optional<AckRequest> ackRequest = Optional.empty();

  /**
   * Makes an empty state.
   *
   * @param classNames the names of the request classes, in the order of the settings
   * @param serverNames gives the name of a server by its number
   */
  public PublishedTables(List<String> classNames, LongFunction<String> serverNames) {
    requestClasses = new RequestClasses(classNames);
    globalLevels = new GlobalAdmissionLevels(classNames.size());
    composer = new UpdateComposer(requestClasses, serverNames, tables, globalLevels, ejections);
  }

  /** Returns the set of classes that a command means: a bit for each by position, 0 for all. */
  public ClassSet classes(int classBits) {
    return new ClassSet(requestClasses.bits(classBits));
  }

  /** Whether a set contains all request classes. */
  public boolean coversAllClasses(ClassSet classes) {
    return requestClasses.coversAll(classes.bits());
  }

  // State of an earlier process, before the first iteration.

  /** Restores a table; it is sent to the proxies that are bound to it from now on. */
  public void restoreTable(
      int table, Map<Long, Double> weights, Map<Integer, AdmissionLevel> levels) {
    table(table).restore(weights, levels);
  }

  /** Restores a server that was ejected. */
  public void restoreEjection(long server) {
    ejections.restore(server);
  }

  // Proxies.

  /** A proxy joined: it is not bound, and its ejections are not known. */
  public void addProxy(int proxy) {
    proxies.put(proxy, new ProxyStreamState(requestClasses.count()));
  }

  /** A proxy left. */
  public void removeProxy(int proxy) {
    proxies.remove(proxy);
  }

  /** Notes which servers were announced to a joined proxy on an earlier stream. */
  public void setAnnounced(int proxy, Map<Long, Boolean> ejections) {
    proxies.get(proxy).setAnnounced(ejections);
  }

  /** Notes that a proxy has ejected no server but those that are suspected at all proxies. */
  public void confirmProxy(int proxy) {
    proxies.get(proxy).confirm();
  }

  /** Binds classes of a proxy to a table, which it is sent completely; ignored if it has left. */
  public void bindProxy(int proxy, int table, ClassSet classes) {
    ProxyStreamState stream = proxies.get(proxy);
    if (stream != null) {
      createIfAbsent(table);
      stream.bind(classes, table);
    }
  }

  /**
   * Binds all classes of a joined proxy to a table of which it is sent only what it lacks.
   *
   * @param ejections servers to announce as ejected (true) or reinstated
   */
  public void bindWithCatchUp(int proxy, CatchUp lacking, Map<Long, Boolean> ejections) {
    createIfAbsent(lacking.table());
    proxies.get(proxy).bindWithCatchUp(lacking, ejections);
  }

  /**
   * Takes a proxy's acknowledgement. A wrong one would distort the policy's update budget, which
   * relies on it.
   *
   * @return false if none with this number is pending on the proxy's stream, or the request is not
   *     as old as the time that the proxy says it took
   */
  public boolean acknowledge(long nowUs, int proxy, int number, long tookUs) {
    ProxyStreamState stream = proxies.get(proxy);
    return stream != null && stream.acks().onAcknowledged(number, tookUs, nowUs);
  }

  // Tables, levels and ejections.

  private PublishedTable table(int number) {
    return tables.computeIfAbsent(number, n -> new PublishedTable(requestClasses.count()));
  }

  private void createIfAbsent(int number) {
    table(number);
  }

  /** Sets the weight of a server in a table; 0 removes it. */
  public void setWeight(int table, long server, double weight) {
    table(table).setWeight(server, weight);
  }

  /** Empties a table, its admission levels included. */
  public void clearTable(int table) {
    table(table).clear();
  }

  /** Sets the admission level of classes, in one table or {@link #ALL_TABLES}. */
  public void setAdmission(int table, ClassSet classes, AdmissionLevel level) {
    if (table == ALL_TABLES) {
      globalLevels.set(classes, level);
    } else {
      table(table).setLevel(classes, level);
    }
  }

  /** Ejects a server, or reinstates it. */
  public void setEjected(long server, boolean isEjected) {
    ejections.set(server, isEjected);
  }

  /**
   * Notes that other assigners may have ejected a server: its state is announced with its weight.
   *
   * @param all whether to all proxies, or only to those that are not confirmed
   */
  public void suspectEjection(long server, boolean all) {
    ejections.suspect(server, all);
  }

  /** Drops all that is stored about a server which no table contains any more. */
  public void forgetServer(long server) {
    ejections.forget(server);
    proxies.values().forEach(proxy -> proxy.forgetServer(server));
  }

  /** Requests an acknowledgement of this iteration's updates; a number below 0 requests none. */
  public void requestAck(int number, boolean toAll) {
    ackRequest = number < 0 ? Optional.empty() : Optional.of(new AckRequest(number, toAll));
  }

  // End of an iteration.

  /** Sends each proxy its update of this iteration, and begins the next iteration. */
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

  /** Whether the policy set anything in this iteration besides bindings. */
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

  /** Whether a table was emptied and no proxy is bound to it, as of a zone that was removed. */
  private boolean isUnused(int number, PublishedTable table) {
    return table.isEmptied()
        && proxies.values().stream().noneMatch(proxy -> proxy.isBoundTo(number));
  }

  // Sizes, for tests of what must not grow without end.

  /** Returns the number of entries by server and proxy, besides the contents of tables. */
  public int size() {
    return ejections.size() + proxies.values().stream().mapToInt(ProxyStreamState::size).sum();
  }

  /** Returns the number of tables. */
  int tableCount() {
    return tables.size();
  }
}
