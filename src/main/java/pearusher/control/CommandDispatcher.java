package pearusher.control;

import java.util.function.Consumer;
import java.util.function.Supplier;
import pearusher.policy.AdmissionLevel;
import pearusher.policy.PolicyCommands;
import pearusher.publish.ClassSet;
import pearusher.publish.PublishedTables;

/**
 * Executes the policy's commands: those on tables, proxies and servers go to the published tables
 * and, by the server's name, to the persistence; the others go to the event loop, the endpoint list
 * or the outbound ports. Only the event-loop thread uses it. It holds no state.
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
   * @param logger takes the policy's log texts, with the names of servers
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
            lacking ->
                tables.bindWithCatchUp(proxy, lacking, servers.byNumber(lacking.ejections())),
            () -> tables.bindProxy(proxy, table, classes));
  }

  @Override
  public void confirmProxy(int proxy) {
    tables.confirmProxy(proxy);
  }

  @Override
  public void suspectEjection(long server, boolean all) {
    tables.suspectEjection(server, all);
  }

  @Override
  public void setAdmission(int table, int classBits, double level, int retry) {
    ClassSet classes = tables.classes(classBits);
    AdmissionLevel admission = new AdmissionLevel(level, retry);
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

  /** Every server is replaced in time: what is stored about one is removed with it. */
  @Override
  public void forgetServer(long server) {
    servers.findName(server).ifPresent(persistence::forgetServer);
    servers.forget(server);
    tables.forgetServer(server);
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

  /** The policy refers to servers by number, the log by name. */
  @Override
  public void log(String text) {
    logger.accept(servers.replaceNumbers(text));
  }
}
