package pearusher.control;

import java.util.Optional;
import java.util.function.Consumer;
import pearusher.policy.AdmissionLevel;
import pearusher.protocol.EndpointList;
import pearusher.recovery.CatchUp;
import pearusher.recovery.Ledger;

/** The persistence of an assigner without a store: records nothing, sends messages immediately. */
enum NoPersistence implements Persistence {
  INSTANCE;

  @Override
  public EndpointList initialEndpointList(EndpointList configured) {
    return configured;
  }

  @Override
  public void recover(long nowUs, EndpointList initialList, Consumer<Ledger> restorer) {}

  @Override
  public Optional<CatchUp> onProxyJoined(int proxy, boolean isFresh) {
    return Optional.empty();
  }

  @Override
  public void onProxyLeft(int proxy) {}

  @Override
  public void onAcknowledgement(int proxy, int number) {}

  @Override
  public void onEndpointList(EndpointList list) {}

  @Override
  public Optional<CatchUp> bindProxy(int proxy, int table, boolean coversAllClasses) {
    return Optional.empty();
  }

  @Override
  public void setWeight(int table, String server, double weight) {}

  @Override
  public void clearTable(int table) {}

  @Override
  public void setEjected(String server, boolean isEjected, long nowUs) {}

  @Override
  public void onStaleEjectionRisk(String server, long nowUs) {}

  @Override
  public void setAdmission(int table, int requestClass, AdmissionLevel level) {}

  @Override
  public void requestAck(int number) {}

  @Override
  public void discardServer(String server) {}

  @Override
  public void send(int proxy, ProxyStream stream, byte[] message) {
    stream.send(message);
  }

  @Override
  public void commitIteration(long nowUs) {}
}
