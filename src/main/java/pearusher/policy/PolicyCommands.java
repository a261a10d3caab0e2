package pearusher.policy;

/**
 * Where orders go. What is ordered between two calls of {@link AssignmentPolicy#onBatchEnd} becomes
 * one message a proxy.
 */
public interface PolicyCommands {
  void setWeight(int table, long server, double weight);

  void clearTable(int table);

  /** Proxies send nothing more to a server. */
  void eject(long server);

  /** Proxies may send to an ejected server again. */
  void reinstate(long server);

  void bindProxy(int proxy, int table, int classBits);

  void setAdmission(int table, int classBits, double level, int retry);

  void requestAck(int number, boolean toAll);

  void watchEndpoints(boolean on);

  void fetchEndpoints();

  void checkHealth(long server);

  void setTimer(long delayUs, long token);

  void sendToPeer(long peer, byte[] body);

  void log(String text);

  /** This proxy shuts out what the list tells, no more: servers that never changed need no word. */
  default void confirmProxy(int proxy) {}

  /**
   * Others may have withdrawn it: its lines bring the word that it is back, to all or the unsure.
   */
  default void suspectEjection(long server, boolean all) {}

  /** No order names this server's number again, nor did one that still holds. */
  default void forgetServer(long server) {}
}
