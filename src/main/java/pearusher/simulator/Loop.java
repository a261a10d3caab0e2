package pearusher.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import pearusher.policy.Assigner;
import pearusher.sitesettings.Paths;
import pearusher.sitesettings.SettingsException;
import pearusher.sitesettings.SettingsReader;

/** Reads batches, hands each instance its events, writes one reply a batch. It decides nothing. */
public final class Loop {
  private static final int HEADER = 16;
  private static final Map<Integer, Assigner.Probe> ENDS =
      Map.of(
          200,
          Assigner.Probe.OK,
          502,
          Assigner.Probe.ERROR,
          429,
          Assigner.Probe.TURNED_AWAY,
          408,
          Assigner.Probe.NO_ANSWER,
          521,
          Assigner.Probe.DOWN,
          520,
          Assigner.Probe.BROKEN);

  private final BiFunction<Assigner.Settings, Assigner.Orders, Assigner> maker;
  private final Map<Integer, Assigner> instances = new TreeMap<>();
  private final Reply reply = new Reply();
  private int current = -1;

  public Loop(BiFunction<Assigner.Settings, Assigner.Orders, Assigner> maker) {
    this.maker = maker;
  }

  /** Runs until the input ends; a frame cut short or not understood ends it with an exception. */
  public void run(InputStream in, OutputStream out) throws IOException, WireException {
    long offset = 0;
    while (true) {
      byte[] header = in.readNBytes(HEADER);
      if (header.length == 0) {
        return;
      }
      if (header.length < HEADER) {
        throw new WireException(
            "truncated header: " + header.length + " bytes of a frame" + " at byte " + offset);
      }
      ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
      long length = head.getInt() & 0xffffffffL;
      long count = head.getInt() & 0xffffffffL;
      long now = head.getLong();
      if (length > Integer.MAX_VALUE - HEADER) {
        throw new WireException("frame at byte " + offset + ": length " + length + " is too large");
      }
      byte[] body = in.readNBytes((int) length);
      if (body.length < length) {
        throw new WireException(
            "truncated frame at byte "
                + offset
                + ": "
                + length
                + " bytes announced, "
                + body.length
                + " came");
      }
      byte[] answer;
      try {
        answer = batch(now, count, body);
      } catch (WireException e) {
        throw new WireException("frame at byte " + offset + ": " + e.getMessage());
      }
      out.write(answer);
      out.flush();
      offset += HEADER + length;
    }
  }

  private byte[] batch(long now, long count, byte[] body) throws WireException {
    reply.clear();
    TreeSet<Integer> touched = new TreeSet<>();
    Fields in = new Fields(body);
    current = -1;
    for (long k = 0; k < count; k++) {
      if (in.ended()) {
        throw in.fault("length doesn't add up: " + count + " records announced, " + k + " came");
      }
      int code = in.next();
      if (code == 15) {
        current = in.u16();
        continue;
      }
      if (current < 0) {
        throw in.fault("record before any instance is named");
      }
      reply.speaker(current);
      touched.add(current);
      event(now, code, in);
    }
    if (!in.ended()) {
      throw in.fault("length doesn't add up: bytes left after " + count + " records");
    }
    for (int id : touched) {
      reply.speaker(id);
      deliver(id, a -> a.close(now));
    }
    return reply.frame();
  }

  private void deliver(int id, java.util.function.Consumer<Assigner> what) {
    Assigner to = instances.get(id);
    if (to == null) {
      return;
    }
    try {
      what.accept(to);
    } catch (RuntimeException e) {
      instances.remove(id);
      StackTraceElement[] at = e.getStackTrace();
      reply.fault(e + (at.length > 0 ? " at " + at[0] : ""));
    }
  }

  private void event(long now, int code, Fields in) throws WireException {
    int id = current;
    switch (code) {
      case 1 -> {
        long seed = in.u64();
        Assigner.Settings settings;
        try {
          settings = SettingsReader.read(seed, Paths.lines(in.text()));
        } catch (SettingsException e) {
          throw new WireException(e.getMessage());
        }
        try {
          instances.put(id, maker.apply(settings, reply));
        } catch (RuntimeException e) {
          instances.remove(id);
          reply.fault("start: " + e);
        }
      }
      case 2 -> {
        Assigner.ListForm form = form(in);
        in.u32();
        List<Assigner.Entry> entries = entries(in);
        deliver(id, a -> a.listed(now, form, entries));
      }
      case 3 -> {
        long token = in.u64();
        deliver(id, a -> a.timer(now, token));
      }
      case 4 -> {
        long server = in.task();
        Assigner.Probe end = ENDS.getOrDefault(in.u16(), Assigner.Probe.OTHER);
        long took = in.u32();
        float[] load = in.load();
        deliver(id, a -> a.probed(now, server, end, took, load));
      }
      case 5 -> {
        int peer = in.u16();
        byte[] said = in.bytes(in.u16());
        deliver(id, a -> a.told(now, peer, said));
      }
      case 6 -> instances.remove(id);
      case 7 -> {
        int proxy = in.u16();
        int zone = in.u8();
        float perS = in.f32();
        boolean standing = in.flag();
        deliver(id, a -> a.joined(now, proxy, zone, perS, standing));
      }
      case 8 -> {
        int proxy = in.u16();
        deliver(id, a -> a.left(now, proxy));
      }
      case 9 -> {
        long took = in.u32();
        long mark = in.u32();
        int proxy = in.u16();
        deliver(id, a -> a.applied(now, proxy, (int) mark, took));
      }
      case 10 -> {
        long tries = in.u32();
        long failed = in.u32();
        long span = in.u32();
        int zone = in.u8();
        long server = in.task();
        long mean = in.u32();
        float[] load = in.load();
        deliver(id, a -> a.heard(now, server, zone, tries, failed, span, mean, load));
      }
      case 11 -> {
        int proxy = in.u16();
        int grade = in.u8();
        long requests = in.u32();
        long failed = in.u32();
        long span = in.u32();
        deliver(id, a -> a.usage(now, proxy, grade, requests, failed, span));
      }
      case 12 -> {
        long requests = in.u32();
        long failed = in.u32();
        int grade = in.u8();
        int slice = in.u16();
        long span = in.u32();
        deliver(id, a -> a.sliceUsage(now, slice, grade, requests, failed, span));
      }
      case 13 -> {
        boolean given = in.flag();
        int slice = in.u16();
        deliver(id, a -> a.sliceGiven(now, slice, given));
      }
      case 14 -> {
        int slice = in.u16();
        long server = in.task();
        float weight = in.f32();
        deliver(id, a -> a.sliceLine(now, slice, server, weight));
      }
      default -> throw in.fault("unknown record code " + code);
    }
  }

  private static Assigner.ListForm form(Fields in) throws WireException {
    int form = in.u8();
    if (form > 3) {
      throw in.fault("unknown list form " + form);
    }
    return new Assigner.ListForm[] {
          Assigner.ListForm.CHANGES,
          Assigner.ListForm.WHOLE,
          Assigner.ListForm.CACHED,
          Assigner.ListForm.FAILED
        }
        [form];
  }

  private static List<Assigner.Entry> entries(Fields in) throws WireException {
    long n = in.u32();
    List<Assigner.Entry> out = new ArrayList<>();
    for (long k = 0; k < n; k++) {
      long server = in.task();
      int zone = in.u8();
      int kind = in.u16();
      int cell = in.u16();
      int state = in.u8();
      if (state > 2) {
        throw in.fault("unknown server state " + state);
      }
      float weight = in.f32();
      long started = in.u64();
      out.add(
          new Assigner.Entry(
              server,
              zone,
              kind,
              cell,
              state == 1
                  ? Assigner.State.READY
                  : state == 2 ? Assigner.State.DRAINING : Assigner.State.GONE,
              weight,
              started));
    }
    return out;
  }
}
