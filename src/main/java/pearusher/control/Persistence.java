package pearusher.control;

import java.util.Optional;
import java.util.function.Consumer;
import pearusher.policy.AdmissionLevel;
import pearusher.protocol.EndpointList;
import pearusher.recovery.CatchUp;
import pearusher.recovery.Ledger;

/**
 * Records what the policy commands and what proxies acknowledge, and sends messages to proxies once
 * the changes behind them are durable. Servers go by their names in the endpoint list, because
 * their numbers do not outlive the process. The event-loop thread calls all methods; none blocks.
 */
public interface Persistence {

  /** Returns a persistence that records nothing and sends every message at once. */
  static Persistence none() {
    return NoPersistence.INSTANCE;
  }

  // Start.

  /** Returns the list to start with: the configured one merged with the one recovered. */
  EndpointList initialEndpointList(EndpointList configured);

  /**
   * Starts recording, and hands over the recovered state if there is any.
   *
   * @param known the list to start with, from {@link #initialEndpointList}
   * @param restorer called once with the recovered state, or not at all
   */
  void recover(long nowUs, EndpointList known, Consumer<Ledger> restorer);

  // Events.

  /** Returns what a joining proxy lacks of its table; empty if it needs the complete table. */
  Optional<CatchUp> onProxyJoined(int proxy, boolean fresh);

  /** The stream of a proxy ended. */
  void onProxyLeft(int proxy);

  /** A proxy acknowledged everything up to this acknowledgement number. */
  void onAcknowledgement(int proxy, int number);

  /** The policy is about to be given this list. */
  void onEndpointList(EndpointList list);

  // Commands of the policy.

  /**
   * Records a binding.
   *
   * @param allClasses whether the table serves all request classes of the proxy
   * @return what the proxy lacks, if it joined in this iteration and holds the rest of the table;
   *     empty if it needs the complete table
   */
  Optional<CatchUp> bindProxy(int proxy, int table, boolean allClasses);

  /** Records the weight of a server; 0 removes it from the table. */
  void setWeight(int table, String server, double weight);

  /** Records that a table was emptied. */
  void clearTable(int table);

  /** Records an ejection or a reinstatement. */
  void setEjected(String server, boolean isEjected, long nowUs);

  /** Records the admission level of one request class. */
  void setAdmission(int table, int requestClass, AdmissionLevel level);

  /** Records the number of the acknowledgement requested in this iteration. */
  void requestAck(int number);

  /** Drops what is recorded of a server. */
  void forgetServer(String server);

  // End of an iteration.

  /** Sends a message once this iteration is durable. */
  void send(int proxy, ProxyStream stream, byte[] message);

  /** Ends an iteration: its changes are submitted, its messages wait for them. */
  void commitIteration(long nowUs);
}
