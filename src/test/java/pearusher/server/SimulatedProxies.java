package pearusher.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import pearusher.policy.FaastPolicy;
import pearusher.simulator.BatchWriter;
import pearusher.simulator.SimulatorLoop;

/**
 * Simulated proxies, which apply the actions that the policy sends over the simulator's protocol.
 */
final class SimulatedProxies {
  private static final int CLASSES = 2;
  private static final int SERVER_BYTES = 6;

  /** Position of the byte in a server's address that identifies the server in this test. */
  private static final int SERVER_NUMBER_BYTE = 3;

  private final SimulatorLoop loop = new SimulatorLoop(FaastPolicy::new);
  private final Map<Integer, Map<Integer, Float>> weightsByTable = new TreeMap<>();

  /** Admission level and retry mode of each request class as text; null if none was sent. */
  private final Map<Integer, String[]> levelsByTable = new TreeMap<>();

  private final TreeSet<Integer> ejectedServers = new TreeSet<>();
  private final Map<Integer, Integer> tableByProxy = new TreeMap<>();

  /** Tokens of pending timers by their due time in microseconds. */
  private final TreeMap<Long, List<Long>> timers = new TreeMap<>();

  /** Sends the due timers and a batch of records to the policy, and applies its actions. */
  void runBatch(long nowUs, List<String> records) throws Exception {
    List<String> batch = new ArrayList<>(List.of("0f0300"));
    batch.addAll(records);
    while (!timers.isEmpty() && timers.firstKey() <= nowUs) {
      timers.pollFirstEntry().getValue().forEach(token -> batch.add("03" + BatchWriter.u64(token)));
    }
    ByteArrayOutputStream reply = new ByteArrayOutputStream();
    byte[] frame = BatchWriter.frame(nowUs, batch.toArray(new String[0]));
    loop.run(new ByteArrayInputStream(frame), reply);
    ByteBuffer actions =
        ByteBuffer.wrap(reply.toByteArray()).order(ByteOrder.LITTLE_ENDIAN).position(8);
    while (actions.hasRemaining()) {
      apply(nowUs, actions);
    }
  }

  /** Removes the binding of a proxy that left. */
  void unbind(int proxy) {
    tableByProxy.remove(proxy);
  }

  boolean hasAnyLevel() {
    return levelsByTable.values().stream().flatMap(Arrays::stream).anyMatch(Objects::nonNull);
  }

  private void apply(long nowUs, ByteBuffer action) {
    int code = action.get();
    switch (code) {
      case 72 -> action.getShort();
      case 78 -> setWeight(action);
      case 66 -> setEjected(action);
      case 69 -> {
        tableByProxy.put((int) action.getShort(), (int) action.getShort());
        assertEquals(0, action.getShort());
      }
      case 70 -> setAdmission(action);
      case 77 -> {
        long dueUs = nowUs + (action.getInt() & 0xffffffffL);
        timers.computeIfAbsent(dueUs, ignored -> new ArrayList<>()).add(action.getLong());
      }
      case 75 -> readServer(action);
      case 67 -> action.position(action.position() + 5);
      case 68 -> action.get();
      case 65 -> action.position(action.position() + 2 + action.getShort(action.position()));
      default -> throw new AssertionError("unexpected action code: " + code);
    }
  }

  private static int readServer(ByteBuffer action) {
    byte[] address = new byte[SERVER_BYTES];
    action.get(address);
    return address[SERVER_NUMBER_BYTE];
  }

  private void setWeight(ByteBuffer action) {
    Map<Integer, Float> weights =
        weightsByTable.computeIfAbsent((int) action.getShort(), ignored -> new TreeMap<>());
    int server = readServer(action);
    float weight = action.getFloat();
    if (weight > 0) {
      weights.put(server, weight);
    } else {
      weights.remove(server);
    }
  }

  private void setEjected(ByteBuffer action) {
    int server = readServer(action);
    if (action.get() != 0) {
      ejectedServers.add(server);
    } else {
      ejectedServers.remove(server);
    }
  }

  private void setAdmission(ByteBuffer action) {
    int retry = action.get();
    float level = action.getFloat();
    String[] levels =
        levelsByTable.computeIfAbsent((int) action.getShort(), ignored -> new String[CLASSES]);
    int classBits = action.getShort();
    for (int requestClass = 0; requestClass < CLASSES; requestClass++) {
      if (classBits == 0 || (classBits >> requestClass & 1) != 0) {
        levels[requestClass] = level + " " + retry;
      }
    }
  }

  /** Returns the state of a proxy in the format of {@link SimulatorParityTest}. */
  String describe(int proxy) {
    Integer table = tableByProxy.get(proxy);
    if (table == null) {
      return "unbound";
    }
    Map<String, Float> usable = new TreeMap<>();
    weightsByTable
        .getOrDefault(table, Map.of())
        .forEach(
            (server, weight) -> {
              if (!ejectedServers.contains(server)) {
                usable.put("s" + server, weight);
              }
            });
    String[] levels = levelsByTable.getOrDefault(table, new String[CLASSES]);
    return usable + " " + levels[0] + "; " + usable + " " + levels[1];
  }
}
