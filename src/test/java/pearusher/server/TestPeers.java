package pearusher.server;

import static org.junit.jupiter.api.Assertions.fail;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import pearusher.protocol.EndpointList;
import pearusher.protocol.EndpointListLimits;
import pearusher.protocol.EndpointListReader;
import pearusher.protocol.WireNames;
import pearusher.sitesettings.SettingsException;

/**
 * Helpers of tests that play the systems around an assigner: messages, endpoint lists and waits.
 */
public final class TestPeers {
  private static final long TIMEOUT_NS = 20_000_000_000L;
  private static final long POLL_INTERVAL_MS = 2;

  private TestPeers() {}

  /** Waits until a condition holds; fails the test after a timeout. */
  public static void until(String description, BooleanSupplier condition)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + TIMEOUT_NS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNs) {
        fail("never happened: " + description);
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Encodes a message, given by its words. */
  public static byte[] words(String... words) {
    StringBuilder message = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      message
          .append('$')
          .append(word.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n")
          .append(word)
          .append("\r\n");
    }
    return message.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Encodes a message, given by its words with spaces between. */
  static byte[] encodeLine(String line) {
    return words(line.split(" "));
  }

  /** What a proxy holds for one request class; no level where it was sent none. */
  public static final class AppliedTable {
    public Map<String, Float> lines = new TreeMap<>();
    public Float level;
    public Integer retry;

    @Override
    public String toString() {
      return lines + " level " + level + " retry " + retry;
    }
  }

  /** What a proxy holds, by the updates that it applied; it outlasts the proxy's streams. */
  public static final class AppliedUpdates {
    private static final int MAX_PARTS = 64;
    private static final String WEIGHT_FORMAT = "[0-9]+(\\.[0-9]+)?";

    public final Map<String, AppliedTable> by = new TreeMap<>();
    public final Set<String> out = new TreeSet<>();
    public final List<Integer> tickets = new CopyOnWriteArrayList<>();
    public final List<String> faults = new CopyOnWriteArrayList<>();

    /** Complete updates, however many parts each had. */
    public volatile int messages;

    private int parts;

    public AppliedUpdates(List<String> classes) {
      classes.forEach(requestClass -> by.put(requestClass, new AppliedTable()));
    }

    public synchronized String shown() {
      return by + " out " + out;
    }

    /** Applies an update message, given by its words; what is wrong with it goes to the faults. */
    public synchronized void update(List<String> words) {
      Map<String, String> fields = fields(words);
      if (!words.get(0).equals("update") || words.size() % 2 == 0) {
        faults.add("unreadable: " + words);
        return;
      }
      for (String requestClass : classes(fields)) {
        AppliedTable table = by.get(requestClass);
        if (table == null) {
          faults.add("class " + requestClass);
        } else {
          updateTable(table, fields, words);
        }
      }
      updateEjections(fields);
      if (fields.containsKey("ticket")) {
        tickets.add(Integer.parseInt(fields.get("ticket")));
      }
      countPart(!fields.containsKey("more"));
    }

    private Map<String, String> fields(List<String> words) {
      Map<String, String> fields = new HashMap<>();
      for (int k = 1; k < words.size(); k += 2) {
        if (fields.put(words.get(k), words.get(k + 1)) != null) {
          faults.add("twice: " + words.get(k));
        }
      }
      return fields;
    }

    private List<String> classes(Map<String, String> fields) {
      return fields.containsKey("classes")
          ? List.of(fields.get("classes").split("\\+"))
          : List.copyOf(by.keySet());
    }

    private void updateTable(AppliedTable table, Map<String, String> fields, List<String> words) {
      if (fields.containsKey("whole")) {
        table.lines = new TreeMap<>();
        table.level = null;
        table.retry = null;
      }
      if (fields.containsKey("lines")) {
        for (String entry : fields.get("lines").split(",")) {
          updateWeight(table, entry);
        }
      }
      if (fields.containsKey("level") != fields.containsKey("retry")) {
        faults.add("no pair: " + words);
      } else if (fields.containsKey("level")) {
        table.level = Float.parseFloat(fields.get("level"));
        table.retry = Integer.parseInt(fields.get("retry"));
      }
    }

    private void updateWeight(AppliedTable table, String entry) {
      int colon = entry.lastIndexOf(':');
      String server = entry.substring(0, colon);
      String weight = entry.substring(colon + 1);
      if (!weight.matches(WEIGHT_FORMAT)) {
        faults.add("weight " + weight);
      } else if (Float.parseFloat(weight) == 0) {
        table.lines.remove(server);
      } else {
        table.lines.put(server, Float.parseFloat(weight));
      }
    }

    private void updateEjections(Map<String, String> fields) {
      if (fields.containsKey("out")) {
        out.addAll(List.of(fields.get("out").split(",")));
      }
      if (fields.containsKey("back")) {
        out.removeAll(List.of(fields.get("back").split(",")));
      }
    }

    private synchronized void countPart(boolean isLast) {
      parts++;
      if (parts > MAX_PARTS) {
        faults.add("over 64 parts");
      }
      if (isLast) {
        parts = 0;
        messages++;
      }
    }

    /** The servers that a class may be sent to with their weights: all that are not ejected. */
    public synchronized Map<String, Float> open(String requestClass) {
      Map<String, Float> usable = new TreeMap<>(by.get(requestClass).lines);
      usable.keySet().removeAll(out);
      return usable;
    }
  }

  /** A server of an endpoint list, as discovery writes it. */
  public static String instance(
      String id, String address, String zone, String lifecycle, long startedAtMs) {
    return "{\"instanceId\":\""
        + id
        + "\",\"hostPort\":\""
        + address
        + "\",\"zone\":\""
        + zone
        + "\",\"machineType\":\"small\",\"cell\":0,\"lifecycle\":\""
        + lifecycle
        + "\",\"weight\":1.0,\"startedAtMs\":"
        + startedAtMs
        + "}";
  }

  /** An endpoint list, as discovery writes it. */
  public static String listing(long generation, boolean reset, String... instances) {
    return "{\"generation\":"
        + generation
        + ",\"reset\":"
        + reset
        + ",\"instances\":["
        + String.join(",", instances)
        + "]}";
  }

  /** Reads an endpoint list. */
  public static EndpointList read(String text, WireNames names) throws SettingsException {
    EndpointListReader reader = new EndpointListReader(names, EndpointListLimits.ofThisProcess());
    reader.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    return reader.endOfBody();
  }
}
