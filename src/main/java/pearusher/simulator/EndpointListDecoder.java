package pearusher.simulator;

import java.util.ArrayList;
import java.util.List;
import pearusher.policy.Lifecycle;
import pearusher.policy.ListUpdateKind;
import pearusher.policy.ServerEntry;

/** Decoder of the fields and entries of an endpoint list record. */
final class EndpointListDecoder {
  /** Update kinds, indexed by code. */
  private static final List<ListUpdateKind> KINDS =
      List.of(
          ListUpdateKind.DELTA,
          ListUpdateKind.COMPLETE,
          ListUpdateKind.CACHED,
          ListUpdateKind.FAILED);

  /** Lifecycle states of a server, indexed by code. */
  private static final List<Lifecycle> LIFECYCLES =
      List.of(Lifecycle.REMOVED, Lifecycle.READY, Lifecycle.DRAINING);

  private EndpointListDecoder() {}

  static ListUpdateKind readKind(RecordReader in) throws SimulatorProtocolException {
    return readCode(in, KINDS, "list form");
  }

  /** Reads a 32-bit count and that number of entries. */
  static List<ServerEntry> readEntries(RecordReader in) throws SimulatorProtocolException {
    long count = in.readU32();
    List<ServerEntry> entries = new ArrayList<>();
    for (long i = 0; i < count; i++) {
      entries.add(readEntry(in));
    }
    return entries;
  }

  private static ServerEntry readEntry(RecordReader in) throws SimulatorProtocolException {
    long server = in.readServer();
    int zone = in.readU8();
    int machineType = in.readU16();
    int cell = in.readU16();
    Lifecycle lifecycle = readCode(in, LIFECYCLES, "server state");
    float weight = in.readFloat();
    long startedUs = in.readU64();
    return new ServerEntry(server, zone, machineType, cell, lifecycle, weight, startedUs);
  }

  private static <T> T readCode(RecordReader in, List<T> byCode, String field)
      throws SimulatorProtocolException {
    int code = in.readU8();
    if (code >= byCode.size()) {
      throw in.fault(SimulatorProtocolException.Kind.UNKNOWN_CODE, "unknown " + field + " " + code);
    }
    return byCode.get(code);
  }
}
