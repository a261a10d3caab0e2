package pearusher.policy;

/**
 * Receives the commands of a policy. Commands between two calls of {@link
 * AssignmentPolicy#onBatchEnd} become one update for each proxy.
 *
 * <p>A set of request classes is given as bits: bit k stands for class k, and 0 for all classes.
 */
public interface PolicyCommands {
  /**
   * Sets a server's weight in a table.
   *
   * @param table the table
   * @param server the server
   * @param weight the weight; 0 removes the server from the table
   */
  void setWeight(int table, long server, double weight);

  /**
   * Removes a table.
   *
   * @param table the table
   */
  void clearTable(int table);

  /**
   * Ejects a server: proxies send it no further requests.
   *
   * @param server the server
   */
  void eject(long server);

  /**
   * Reinstates an ejected server: proxies may send it requests again.
   *
   * @param server the server
   */
  void reinstate(long server);

  /**
   * Binds a proxy to a table, whose content and changes it gets from then on.
   *
   * @param proxy the proxy
   * @param table the table
   * @param classBits the request classes to bind
   */
  void bindProxy(int proxy, int table, int classBits);

  /**
   * Sets the admission level and the retry mode of a table.
   *
   * @param table the table
   * @param classBits the request classes
   * @param level a share or a rate, as {@link AdmissionMode} defines
   * @param retryMode 0: no retries; 1: retries after proof that the attempt did not run
   */
  void setAdmission(int table, int classBits, double level, int retryMode);

  /**
   * Requests an acknowledgement of the update being composed.
   *
   * @param ackNumber the number to acknowledge with
   * @param toAll whether proxies without changes get an update as well
   */
  void requestAck(int ackNumber, boolean toAll);

  /**
   * Starts or ends the watch on the endpoint list.
   *
   * @param watch whether to watch
   */
  void watchEndpoints(boolean watch);

  /** Requests the endpoint list once. */
  void fetchEndpoints();

  /**
   * Requests a health check, answered by {@link AssignmentPolicy#onHealthCheckResult}.
   *
   * @param server the server
   */
  void checkHealth(long server);

  /**
   * Sets a timer, answered by {@link AssignmentPolicy#onTimer}.
   *
   * @param delayUs the delay, in microseconds
   * @param token identifies the timer
   */
  void setTimer(long delayUs, long token);

  /**
   * Sends a message to another instance.
   *
   * @param peer the instance
   * @param body the message
   */
  void sendToPeer(long peer, byte[] body);

  /**
   * Logs a change of state. A server is named as {@code server} and its number in hexadecimal.
   *
   * @param text the line
   */
  void log(String text);

  /**
   * Confirms that a proxy excludes only servers that the endpoint list names as changed: it needs
   * no reinstatement of others.
   *
   * @param proxy the proxy
   */
  default void confirmProxy(int proxy) {}

  /**
   * Reports that proxies may exclude a server by an ejection of another instance or process: its
   * entries must come with a reinstatement.
   *
   * @param server the server
   * @param allProxies whether to all proxies, else to those that are not confirmed
   */
  default void suspectEjection(long server, boolean allProxies) {}

  /**
   * Reports that no command names this server's number again, and none in force does.
   *
   * @param server the server
   */
  default void forgetServer(long server) {}
}
