package pearusher.policy;

/**
 * Receiver of a policy's commands. Commands between two calls of {@link
 * AssignmentPolicy#onBatchEnd} become one update for each proxy.
 *
 * <p>A set of request classes is a bit mask: bit k stands for class k, and 0 for all classes. All
 * methods are called on the thread that calls the policy. No argument is null.
 */
public interface PolicyCommands {
  /**
   * Sets a server's weight in a table.
   *
   * @param table the table
   * @param server the server
   * @param weight the weight, 0 or more; 0 removes the server from the table
   */
  void setWeight(int table, long server, double weight);

  /**
   * Removes a table.
   *
   * @param table the table
   */
  void clearTable(int table);

  /**
   * Ejects a server: proxies send no further requests to it.
   *
   * @param server the server
   */
  void eject(long server);

  /**
   * Reinstates an ejected server: proxies may send requests to it again.
   *
   * @param server the server
   */
  void reinstate(long server);

  /**
   * Binds a proxy to a table. The proxy receives the table's content and, from then on, its
   * changes.
   *
   * @param proxy the proxy
   * @param table the table
   * @param classBits the request classes to bind, as a bit mask
   */
  void bindProxy(int proxy, int table, int classBits);

  /**
   * Sets the admission level and the retry mode of a table.
   *
   * @param table the table
   * @param classBits the request classes, as a bit mask
   * @param level a share or a rate per second, as {@link AdmissionMode} defines
   * @param retryMode 0: no retries; 1: retries after proof that the attempt did not run
   */
  void setAdmission(int table, int classBits, double level, int retryMode);

  /**
   * Requests an acknowledgement of the update being composed.
   *
   * @param ackNumber the number that identifies the acknowledgement
   * @param toAll whether proxies without changes also get an update
   */
  void requestAck(int ackNumber, boolean toAll);

  /**
   * Starts or ends the watch on the endpoint list.
   *
   * @param watch true to start the watch, false to end it
   */
  void watchEndpoints(boolean watch);

  /** Requests the endpoint list once. */
  void fetchEndpoints();

  /**
   * Requests a health check, whose result goes to {@link AssignmentPolicy#onHealthCheckResult}.
   *
   * @param server the server
   */
  void checkHealth(long server);

  /**
   * Sets a timer, which calls {@link AssignmentPolicy#onTimer} when it fires.
   *
   * @param delayUs the delay, in microseconds
   * @param token identifies the timer
   */
  void setTimer(long delayUs, long token);

  /**
   * Sends a message to another instance.
   *
   * @param peer the receiving instance
   * @param body the content of the message
   */
  void sendToPeer(long peer, byte[] body);

  /**
   * Logs a change of state. The text denotes a server by {@code server} and its hexadecimal number.
   *
   * @param text the text of the log line
   */
  void log(String text);

  /**
   * Confirms that a proxy excludes only servers that the endpoint list names as changed. The proxy
   * needs no reinstatement of other servers.
   *
   * @param proxy the proxy
   */
  default void confirmProxy(int proxy) {}

  /**
   * Reports that proxies may exclude a server because of an ejection by another instance or
   * process. The server's table entries must be sent together with a reinstatement.
   *
   * @param server the server
   * @param allProxies true if the reinstatement must go to all proxies, false if only to proxies
   *     that are not confirmed
   */
  default void reportStaleEjectionRisk(long server, boolean allProxies) {}

  /**
   * Reports that no command in force refers to this server's number, and that no later one will.
   *
   * @param server the server
   */
  default void discardServer(long server) {}
}
