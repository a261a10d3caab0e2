package pearusher.control;

import java.util.function.Consumer;
import java.util.function.Supplier;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.PolicyCommands;
import pearusher.publish.ClassSet;
import pearusher.publish.PublishedTables;

/**
 * Executes the policy's commands. Commands on tables, proxies and servers are forwarded to the
 * published tables and to the persistence, which identifies servers by name. All others are
 * forwarded to the event loop, the endpoint list handler or the outbound ports. Only the event-loop
 * thread uses it. It is stateless.
 */
final class CommandDispatcher implements PolicyCommands {
  private final EventLoop loop;
  private final ServerDirectory servers;
  private final PublishedTables tables;
  private final Persistence persistence;
  private final EndpointListHandler endpointLists;
  private final Supplier<OutboundPorts> outbound;
  private final Consumer<String> logger;

  /**
   * @param logger receives the policy's log messages, with server numbers replaced by names
   */
  CommandDispatcher(
      EventLoop loop,
      ServerDirectory servers,
      PublishedTables tables,
      Persistence persistence,
      EndpointListHandler endpointLists,
      Supplier<OutboundPorts> outbound,
      Consumer<String> logger) {
    this.loop = loop;
    this.servers = servers;
    this.tables = tables;
    this.persistence = persistence;
    this.endpointLists = endpointLists;
    this.outbound = outbound;
    this.logger = logger;
  }

  @Override
  public void setWeight(int table, long server, double weight) {
    tables.setWeight(table, server, weight);
    persistence.setWeight(table, servers.name(server), weight);
  }

  @Override
  public void clearTable(int table) {
    tables.clearTable(table);
    persistence.clearTable(table);
  }

  @Override
  public void eject(long server) {
    setEjected(server, true);
  }

  @Override
  public void reinstate(long server) {
    setEjected(server, false);
  }

  private void setEjected(long server, boolean isEjected) {
    tables.setEjected(server, isEjected);
    persistence.setEjected(servers.name(server), isEjected, loop.nowUs());
  }

  @Override
  public void bindProxy(int proxy, int table, int classBits) {
    ClassSet classes = tables.classes(classBits);
    persistence
        .bindProxy(proxy, table, tables.coversAllClasses(classes))
        .ifPresentOrElse(
            catchUp ->
                tables.bindWithCatchUp(proxy, catchUp, servers.byNumber(catchUp.ejections())),
            () -> tables.bindProxy(proxy, table, classes));
  }

  @Override
  public void confirmProxy(int proxy) {
    tables.confirmProxy(proxy);
  }

  @Override
  public void reportStaleEjectionRisk(long server, boolean allProxies) {
    tables.suspectEjection(server, allProxies);
    if (allProxies) {
      persistence.onStaleEjectionRisk(servers.name(server), loop.nowUs());
    }
  }

  @Override
  public void setAdmission(int table, int classBits, double level, int retryMode) {
    ClassSet classes = tables.classes(classBits);
    AdmissionLevel admission = new AdmissionLevel(level, retryMode);
    tables.setAdmission(table, classes, admission);
    if (table != PublishedTables.ALL_TABLES) {
      classes.forEach(requestClass -> persistence.setAdmission(table, requestClass, admission));
    }
  }

  @Override
  public void requestAck(int number, boolean toAll) {
    tables.requestAck(number, toAll);
    persistence.requestAck(number);
  }

  /** Discards all state of a server, so that it does not accumulate as servers are replaced. */
  @Override
  public void discardServer(long server) {
    servers.findName(server).ifPresent(persistence::discardServer);
    servers.discard(server);
    tables.discardServer(server);
  }

  @Override
  public void watchEndpoints(boolean isOn) {
    endpointLists.setWatching(isOn);
  }

  @Override
  public void fetchEndpoints() {
    outbound.get().calls().fetchEndpoints();
  }

  @Override
  public void checkHealth(long server) {
    outbound.get().calls().checkHealth(server, servers.hostPort(server));
  }

  @Override
  public void setTimer(long delayUs, long token) {
    loop.setTimer(delayUs, token);
  }

  @Override
  public void sendToPeer(long peer, byte[] body) {
    outbound.get().peers().send((int) peer, body);
  }

  /** Logs a message with server numbers replaced by names. */
  @Override
  public void log(String text) {
    logger.accept(servers.replaceNumbersByNames(text));
  }
}
