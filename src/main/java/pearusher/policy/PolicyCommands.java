package pearusher.policy;

/**
 * Where orders go. What is ordered between two calls of {@link #close} becomes one message a proxy.
 */
public interface PolicyCommands {
  void line(int table, long server, double weight);

  void clear(int table);

  void withdraw(long server, boolean out);

  void bind(int proxy, int table, int classBits);

  void admit(int table, int classBits, double level, int retry);

  void mark(int number, boolean toAll);

  void watch(boolean on);

  void fetch();

  void probe(long server);

  void timer(long delayUs, long token);

  void tell(long peer, byte[] body);

  void log(String text);

  /** This proxy shuts out what the list tells, no more: servers that never changed need no word. */
  default void sure(int proxy) {}

  /**
   * Others may have withdrawn it: its lines bring the word that it is back, to all or the unsure.
   */
  default void doubt(long server, boolean all) {}

  /** No order names this server's number again, nor did one that still holds. */
  default void forget(long server) {}
}
