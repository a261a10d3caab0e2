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
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.HealthCheckResult;
import pearusher.policy.Lifecycle;
import pearusher.policy.ListUpdateKind;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.policy.ServerEntry;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.PolicySettingsReader;
import pearusher.sitesettings.SettingsException;

/** Reads batches, hands each instance its events, writes one reply a batch. It decides nothing. */
public final class SimulatorLoop {
  private static final int HEADER = 16;
  private static final Map<Integer, HealthCheckResult> ENDS =
      Map.of(
          200,
          HealthCheckResult.OK,
          502,
          HealthCheckResult.ERROR,
          429,
          HealthCheckResult.REJECTED,
          408,
          HealthCheckResult.TIMED_OUT,
          521,
          HealthCheckResult.UNREACHABLE,
          520,
          HealthCheckResult.DISCONNECTED);

  private final BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker;
  private final Map<Integer, AssignmentPolicy> instances = new TreeMap<>();
  private final ReplyWriter reply = new ReplyWriter();
  private int current = -1;

  public SimulatorLoop(BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker) {
    this.maker = maker;
  }

  /** Runs until the input ends; a frame cut short or not understood ends it with an exception. */
  public void run(InputStream in, OutputStream out) throws IOException, SimulatorProtocolException {
    long offset = 0;
    while (true) {
      byte[] header = in.readNBytes(HEADER);
      if (header.length == 0) {
        return;
      }
      if (header.length < HEADER) {
        throw new SimulatorProtocolException(
            "truncated header: " + header.length + " bytes of a frame" + " at byte " + offset);
      }
      ByteBuffer head = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
      long length = head.getInt() & 0xffffffffL;
      long count = head.getInt() & 0xffffffffL;
      long now = head.getLong();
      if (length > Integer.MAX_VALUE - HEADER) {
        throw new SimulatorProtocolException(
            "frame at byte " + offset + ": length " + length + " is too large");
      }
      byte[] body = in.readNBytes((int) length);
      if (body.length < length) {
        throw new SimulatorProtocolException(
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
      } catch (SimulatorProtocolException e) {
        throw new SimulatorProtocolException("frame at byte " + offset + ": " + e.getMessage());
      }
      out.write(answer);
      out.flush();
      offset += HEADER + length;
    }
  }

  private byte[] batch(long now, long count, byte[] body) throws SimulatorProtocolException {
    reply.clear();
    TreeSet<Integer> touched = new TreeSet<>();
    RecordReader in = new RecordReader(body);
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
      deliver(id, a -> a.onBatchEnd(now));
    }
    return reply.frame();
  }

  private void deliver(int id, java.util.function.Consumer<AssignmentPolicy> what) {
    AssignmentPolicy to = instances.get(id);
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

  private void event(long now, int code, RecordReader in) throws SimulatorProtocolException {
    int id = current;
    switch (code) {
      case 1 -> {
        long seed = in.u64();
        PolicySettings settings;
        try {
          settings = PolicySettingsReader.read(seed, PathValues.parseLines(in.text()));
        } catch (SettingsException e) {
          throw new SimulatorProtocolException(e.getMessage());
        }
        try {
          instances.put(id, maker.apply(settings, reply));
        } catch (RuntimeException e) {
          instances.remove(id);
          reply.fault("start: " + e);
        }
      }
      case 2 -> {
        ListUpdateKind form = form(in);
        in.u32();
        List<ServerEntry> entries = entries(in);
        deliver(id, a -> a.onEndpointList(now, form, entries));
      }
      case 3 -> {
        long token = in.u64();
        deliver(id, a -> a.onTimer(now, token));
      }
      case 4 -> {
        long server = in.task();
        HealthCheckResult end = ENDS.getOrDefault(in.u16(), HealthCheckResult.OTHER);
        long took = in.u32();
        float[] load = in.load();
        deliver(id, a -> a.onHealthCheckResult(now, server, end, took, load));
      }
      case 5 -> {
        int peer = in.u16();
        byte[] said = in.bytes(in.u16());
        deliver(id, a -> a.onPeerMessage(now, peer, said));
      }
      case 6 -> instances.remove(id);
      case 7 -> {
        int proxy = in.u16();
        int zone = in.u8();
        float perS = in.f32();
        boolean standing = in.flag();
        deliver(id, a -> a.onProxyJoined(now, proxy, zone, perS, standing));
      }
      case 8 -> {
        int proxy = in.u16();
        deliver(id, a -> a.onProxyLeft(now, proxy));
      }
      case 9 -> {
        long took = in.u32();
        long mark = in.u32();
        int proxy = in.u16();
        deliver(id, a -> a.onAcknowledgement(now, proxy, (int) mark, took));
      }
      case 10 -> {
        long tries = in.u32();
        long failed = in.u32();
        long span = in.u32();
        int zone = in.u8();
        long server = in.task();
        long mean = in.u32();
        float[] load = in.load();
        deliver(id, a -> a.onLoadReport(now, server, zone, tries, failed, span, mean, load));
      }
      case 11 -> {
        int proxy = in.u16();
        int grade = in.u8();
        long requests = in.u32();
        long failed = in.u32();
        long span = in.u32();
        deliver(id, a -> a.onUsageReport(now, proxy, grade, requests, failed, span));
      }
      case 12 -> {
        long requests = in.u32();
        long failed = in.u32();
        int grade = in.u8();
        int slice = in.u16();
        long span = in.u32();
        deliver(id, a -> a.onSliceUsageReport(now, slice, grade, requests, failed, span));
      }
      case 13 -> {
        boolean given = in.flag();
        int slice = in.u16();
        deliver(id, a -> a.onSliceAssignment(now, slice, given));
      }
      case 14 -> {
        int slice = in.u16();
        long server = in.task();
        float weight = in.f32();
        deliver(id, a -> a.onSliceWeight(now, slice, server, weight));
      }
      default -> throw in.fault("unknown record code " + code);
    }
  }

  private static ListUpdateKind form(RecordReader in) throws SimulatorProtocolException {
    int form = in.u8();
    if (form > 3) {
      throw in.fault("unknown list form " + form);
    }
    return new ListUpdateKind[] {
          ListUpdateKind.DELTA,
          ListUpdateKind.COMPLETE,
          ListUpdateKind.CACHED,
          ListUpdateKind.FAILED
        }
        [form];
  }

  private static List<ServerEntry> entries(RecordReader in) throws SimulatorProtocolException {
    long n = in.u32();
    List<ServerEntry> out = new ArrayList<>();
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
          new ServerEntry(
              server,
              zone,
              kind,
              cell,
              state == 1 ? Lifecycle.READY : state == 2 ? Lifecycle.DRAINING : Lifecycle.REMOVED,
              weight,
              started));
    }
    return out;
  }
}
