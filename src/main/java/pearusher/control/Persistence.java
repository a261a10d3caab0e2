package pearusher.control;

import java.util.Optional;
import java.util.function.Consumer;
import pearusher.policy.AdmissionLevel;
import pearusher.protocol.EndpointList;
import pearusher.recovery.CatchUp;
import pearusher.recovery.Ledger;

/**
 * Records the commands of the policy and the acknowledgements of proxies, and sends messages to
 * proxies once the changes that caused them are durable. Servers are identified by their names in
 * the endpoint list, because server numbers are valid for one process only. Only the event-loop
 * thread calls the methods, and none of them blocks.
 *
 * <p>At the start, {@link #initialEndpointList} and {@link #recover} are called in this order. In
 * each iteration, events and commands are recorded before messages are sent; {@link
 * #commitIteration} ends the iteration.
 */
public interface Persistence {

  /** Returns a persistence that records nothing and sends every message immediately. */
  static Persistence none() {
    return NoPersistence.INSTANCE;
  }

  /**
   * Returns the endpoint list to start with: the configured list merged with the recovered list.
   */
  EndpointList initialEndpointList(EndpointList configured);

  /**
   * Starts recording, and passes on the recovered state if there is any.
   *
   * @param initialList the list returned by {@link #initialEndpointList}
   * @param restorer called once with the recovered state, or not called if there is none
   */
  void recover(long nowUs, EndpointList initialList, Consumer<Ledger> restorer);

  /**
   * Records that a proxy joined.
   *
   * @param isFresh whether the proxy starts without tables
   * @return the entries that the proxy is missing from its table; empty if it needs the complete
   *     table
   */
  Optional<CatchUp> onProxyJoined(int proxy, boolean isFresh);

  /** Records that the stream of a proxy ended. */
  void onProxyLeft(int proxy);

  /** Records that a proxy acknowledged all requests up to and including the given number. */
  void onAcknowledgement(int proxy, int number);

  /** Records an endpoint list or a change of it, before the policy receives it. */
  void onEndpointList(EndpointList list);

  /**
   * Records a binding.
   *
   * @param coversAllClasses whether all request classes of the proxy are bound to the table
   * @return the entries that the proxy is missing, if it joined in this iteration and retains the
   *     rest of the table; empty if it needs the complete table
   */
  Optional<CatchUp> bindProxy(int proxy, int table, boolean coversAllClasses);

  /** Records the weight of a server in a table; 0 removes the server from the table. */
  void setWeight(int table, String server, double weight);

  /** Records that a table was cleared. */
  void clearTable(int table);

  /** Records an ejection or a reinstatement. */
  void setEjected(String server, boolean isEjected, long nowUs);

  /** Records that any proxy may exclude a server because of an ejection that is not recorded. */
  void onStaleEjectionRisk(String server, long nowUs);

  /** Records the admission level of one request class in a table. */
  void setAdmission(int table, int requestClass, AdmissionLevel level);

  /** Records the number of the acknowledgement requested in this iteration. */
  void requestAck(int number);

  /** Discards the recorded state of a server. */
  void discardServer(String server);

  /** Queues a message of this iteration; it is sent once the iteration is durable. */
  void send(int proxy, ProxyStream stream, byte[] message);

  /** Ends an iteration: submits its changes, and releases its messages once these are durable. */
  void commitIteration(long nowUs);
}
