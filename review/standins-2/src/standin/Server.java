package standin;

/** One entry of the endpoint list. Guarded by the monitor of {@link Discovery}. */
final class Server {
  static final String READY = "in_service";
  static final String DRAINING = "terminating";
  static final String REMOVED = "terminated";

  final String id;
  final int zone;
  String lifecycle = READY;
  long startedAtMs;

  /** Time of the last start, in microseconds of the record; far in the past for "long ago". */
  long startedUs;

  /** Version of the list in which the entry changed last. */
  long generation;

  Server(String id, int zone, long generation) {
    this.id = id;
    this.zone = zone;
    this.generation = generation;
    startedUs = Long.MIN_VALUE / 2;
  }

  boolean isReady() {
    return lifecycle.equals(READY);
  }

  /** Returns the entry in discovery's form. */
  String json(Settings settings) {
    return String.format(
        "{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"%s\",\"machineType\":\"m\","
            + "\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":%d}",
        id, settings.zoneName(zone), zone, lifecycle, startedAtMs);
  }
}
