package pearusher.simulator;

import java.util.HexFormat;

/** Event records of the simulator's protocol in hexadecimal, each with its code first. */
final class WireEvents {
  /** Codes of the kinds of a list update: {@code DELTA} to {@code FAILED}. */
  static final int DELTA = 0;

  static final int COMPLETE = 1;
  static final int CACHED = 2;
  static final int FAILED = 3;

  /** Codes of the lifecycle states of a listed server: {@code REMOVED} to {@code DRAINING}. */
  static final int REMOVED = 0;

  static final int READY = 1;
  static final int DRAINING = 2;

  private WireEvents() {}

  /** Returns the address of a server: its number within 10.0.0.0/16, and a fixed port. */
  static String server(int server) {
    return "0a00" + u8(server >> 8) + u8(server) + "901f";
  }

  static String u8(int value) {
    return HexFormat.of().toHexDigits((byte) value);
  }

  static String u16(int value) {
    return u8(value) + u8(value >> 8);
  }

  static String f32(double value) {
    return BatchWriter.u32(Float.floatToIntBits((float) value));
  }

  private static String load(double... values) {
    StringBuilder text = new StringBuilder(u8(values.length));
    for (double value : values) {
      text.append(f32(value));
    }
    return text.toString();
  }

  static String entry(int server, int zone, int lifecycle, double weight, long startedUs) {
    return server(server)
        + u8(zone)
        + u16(1)
        + u16(2)
        + u8(lifecycle)
        + f32(weight)
        + BatchWriter.u64(startedUs);
  }

  static String endpointList(int kind, String... entries) {
    return "02"
        + u8(kind)
        + BatchWriter.u32(41)
        + BatchWriter.u32(entries.length)
        + String.join("", entries);
  }

  static String timer(long token) {
    return "03" + BatchWriter.u64(token);
  }

  static String healthCheckResult(int server, int status, long durationUs, double... load) {
    return "04" + server(server) + u16(status) + BatchWriter.u32(durationUs) + load(load);
  }

  static String peerMessage(int peer, String body) {
    return "05" + u16(peer) + u16(body.length() / 2) + body;
  }

  static String stop() {
    return "06";
  }

  static String proxyJoined(int proxy, int zone, double requestsPerSecond, boolean hasNoTable) {
    return "07" + u16(proxy) + u8(zone) + f32(requestsPerSecond) + u8(hasNoTable ? 1 : 0);
  }

  static String proxyLeft(int proxy) {
    return "08" + u16(proxy);
  }

  static String acknowledgement(int proxy, long ackNumber, long durationUs) {
    return "09" + BatchWriter.u32(durationUs) + BatchWriter.u32(ackNumber) + u16(proxy);
  }

  static String loadReport(
      int server, int zone, long attempts, long failed, long meanUs, double... load) {
    return "0a"
        + BatchWriter.u32(attempts)
        + BatchWriter.u32(failed)
        + BatchWriter.u32(1_000_000)
        + u8(zone)
        + server(server)
        + BatchWriter.u32(meanUs)
        + load(load);
  }

  static String usageReport(int proxy, int requestClass, long requests, long failed) {
    return "0b"
        + u16(proxy)
        + u8(requestClass)
        + BatchWriter.u32(requests)
        + BatchWriter.u32(failed)
        + BatchWriter.u32(1_000_000);
  }

  static String sliceUsageReport(int slice, int requestClass, long requests, long failed) {
    return "0c"
        + BatchWriter.u32(requests)
        + BatchWriter.u32(failed)
        + u8(requestClass)
        + u16(slice)
        + BatchWriter.u32(1_000_000);
  }

  static String sliceAssignment(int slice, boolean isAssigned) {
    return "0d" + u8(isAssigned ? 1 : 0) + u16(slice);
  }

  static String sliceWeight(int slice, int server, double weight) {
    return "0e" + u16(slice) + server(server) + f32(weight);
  }

  /** Returns the record that selects the instance of the records that follow. */
  static String instance(int number) {
    return "0f" + u16(number);
  }
}
