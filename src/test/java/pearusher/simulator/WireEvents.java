package pearusher.simulator;

import java.util.HexFormat;

/** Event records of the simulator's wire in hex, each with its code first. */
final class WireEvents {
  /** Forms of a list. */
  static final int CHANGES = 0, WHOLE = 1, CACHED = 2, FAILED = 3;

  /** States of a listed server. */
  static final int GONE = 0, READY = 1, DRAINING = 2;

  private WireEvents() {}

  /** A server's address: a number in 10.0.0.0/16 and a fixed port. */
  static String server(int number) {
    return "0a00" + u8(number >> 8) + u8(number) + "901f";
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
    StringBuilder out = new StringBuilder(u8(values.length));
    for (double value : values) {
      out.append(f32(value));
    }
    return out.toString();
  }

  static String entry(int number, int zone, int state, double weight, long startedUs) {
    return server(number)
        + u8(zone)
        + u16(1)
        + u16(2)
        + u8(state)
        + f32(weight)
        + BatchWriter.u64(startedUs);
  }

  static String list(int form, String... entries) {
    return "02"
        + u8(form)
        + BatchWriter.u32(41)
        + BatchWriter.u32(entries.length)
        + String.join("", entries);
  }

  static String timer(long token) {
    return "03" + BatchWriter.u64(token);
  }

  static String probed(int number, int status, long tookUs, double... load) {
    return "04" + server(number) + u16(status) + BatchWriter.u32(tookUs) + load(load);
  }

  static String told(int peer, String body) {
    return "05" + u16(peer) + u16(body.length() / 2) + body;
  }

  static String stopped() {
    return "06";
  }

  static String joined(int proxy, int zone, double perS, boolean fresh) {
    return "07" + u16(proxy) + u8(zone) + f32(perS) + u8(fresh ? 1 : 0);
  }

  static String left(int proxy) {
    return "08" + u16(proxy);
  }

  static String applied(int proxy, long mark, long tookUs) {
    return "09" + BatchWriter.u32(tookUs) + BatchWriter.u32(mark) + u16(proxy);
  }

  static String heard(int number, int zone, long tries, long failed, long meanUs, double... load) {
    return "0a"
        + BatchWriter.u32(tries)
        + BatchWriter.u32(failed)
        + BatchWriter.u32(1_000_000)
        + u8(zone)
        + server(number)
        + BatchWriter.u32(meanUs)
        + load(load);
  }

  static String usage(int proxy, int grade, long requests, long failed) {
    return "0b"
        + u16(proxy)
        + u8(grade)
        + BatchWriter.u32(requests)
        + BatchWriter.u32(failed)
        + BatchWriter.u32(1_000_000);
  }

  static String sliceUsage(int slice, int grade, long requests, long failed) {
    return "0c"
        + BatchWriter.u32(requests)
        + BatchWriter.u32(failed)
        + u8(grade)
        + u16(slice)
        + BatchWriter.u32(1_000_000);
  }

  static String sliceGiven(int slice, boolean given) {
    return "0d" + u8(given ? 1 : 0) + u16(slice);
  }

  static String sliceLine(int slice, int number, double weight) {
    return "0e" + u16(slice) + server(number) + f32(weight);
  }

  /** The records that follow belong to this instance. */
  static String instance(int number) {
    return "0f" + u16(number);
  }
}
