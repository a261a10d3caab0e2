package pearusher.policy;

/** A command that a policy issued. */
sealed interface RecordedCommand {
  record SetWeight(int table, long server, double weight) implements RecordedCommand {}

  record ClearTable(int table) implements RecordedCommand {}

  record Eject(long server) implements RecordedCommand {}

  record Reinstate(long server) implements RecordedCommand {}

  record BindProxy(int proxy, int table, int classBits) implements RecordedCommand {}

  record SetAdmission(int table, int classBits, double level, int retry)
      implements RecordedCommand {}

  record RequestAck(int number) implements RecordedCommand {}

  record WatchEndpoints(boolean on) implements RecordedCommand {}

  record FetchEndpoints() implements RecordedCommand {}

  record CheckHealth(long server) implements RecordedCommand {}

  record SetTimer(long delayUs, long token) implements RecordedCommand {}

  record SendToPeer(long peer) implements RecordedCommand {}

  record Log(String text) implements RecordedCommand {}
}
