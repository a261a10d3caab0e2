package pearusher.server;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;

/** State of a proxy that results from the updates that it applied, across reconnections. */
public final class AppliedUpdates {
  private static final int MAX_MESSAGES_PER_UPDATE = 64;
  private static final String WEIGHT_FORMAT = "[0-9]+(\\.[0-9]+)?";

  public final Map<String, AppliedTable> tables = new TreeMap<>();
  public final Set<String> ejectedServers = new TreeSet<>();
  public final List<Integer> ackNumbers = new CopyOnWriteArrayList<>();
  public final List<String> faults = new CopyOnWriteArrayList<>();

  /** Number of complete updates; an update of several messages counts once. */
  public volatile int updateCount;

  private int messagesOfUpdate;

  public AppliedUpdates(List<String> classes) {
    classes.forEach(requestClass -> tables.put(requestClass, new AppliedTable()));
  }

  public synchronized String describe() {
    return tables + " out " + ejectedServers;
  }

  /** Applies an update message, and adds its errors to {@link #faults}. */
  public synchronized void apply(List<String> words) {
    Map<String, String> fields = fields(words);
    if (!words.get(0).equals("update") || words.size() % 2 == 0) {
      faults.add("not an update of names and values: " + words);
      return;
    }
    for (String requestClass : classes(fields)) {
      AppliedTable table = tables.get(requestClass);
      if (table == null) {
        faults.add("unknown request class: " + requestClass);
      } else {
        updateTable(table, fields, words);
      }
    }
    updateEjections(fields);
    if (fields.containsKey("ticket")) {
      ackNumbers.add(Integer.parseInt(fields.get("ticket")));
    }
    countMessage(!fields.containsKey("more"));
  }

  private Map<String, String> fields(List<String> words) {
    Map<String, String> fields = new HashMap<>();
    for (int k = 1; k < words.size(); k += 2) {
      if (fields.put(words.get(k), words.get(k + 1)) != null) {
        faults.add("repeated field: " + words.get(k));
      }
    }
    return fields;
  }

  private List<String> classes(Map<String, String> fields) {
    return fields.containsKey("classes")
        ? List.of(fields.get("classes").split("\\+"))
        : List.copyOf(tables.keySet());
  }

  private void updateTable(AppliedTable table, Map<String, String> fields, List<String> words) {
    if (fields.containsKey("whole")) {
      table.weights = new TreeMap<>();
      table.level = null;
      table.retry = null;
    }
    if (fields.containsKey("lines")) {
      for (String entry : fields.get("lines").split(",")) {
        updateWeight(table, entry);
      }
    }
    if (fields.containsKey("level") != fields.containsKey("retry")) {
      faults.add("only one of level and retry: " + words);
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
      faults.add("malformed weight: " + weight);
    } else if (Float.parseFloat(weight) == 0) {
      table.weights.remove(server);
    } else {
      table.weights.put(server, Float.parseFloat(weight));
    }
  }

  private void updateEjections(Map<String, String> fields) {
    if (fields.containsKey("out")) {
      ejectedServers.addAll(List.of(fields.get("out").split(",")));
    }
    if (fields.containsKey("back")) {
      ejectedServers.removeAll(List.of(fields.get("back").split(",")));
    }
  }

  private synchronized void countMessage(boolean isLast) {
    messagesOfUpdate++;
    if (messagesOfUpdate > MAX_MESSAGES_PER_UPDATE) {
      faults.add("update of more than 64 messages");
    }
    if (isLast) {
      messagesOfUpdate = 0;
      updateCount++;
    }
  }

  /** Returns the weights of the servers of a request class, without ejected servers. */
  public synchronized Map<String, Float> usableWeights(String requestClass) {
    Map<String, Float> usable = new TreeMap<>(tables.get(requestClass).weights);
    usable.keySet().removeAll(ejectedServers);
    return usable;
  }
}
