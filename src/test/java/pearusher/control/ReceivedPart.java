package pearusher.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * A part of an update as a proxy receives it.
 *
 * @param classes the request classes to which it applies
 * @param isComplete whether it replaces the table
 * @param weights entries of the form SERVER:WEIGHT
 * @param level the admission level and the retry policy as one text; empty if there is none
 * @param retryPolicy the number of the retry policy; 0 if there is none
 * @param ackNumber the number of the requested acknowledgement; empty if none is requested
 */
record ReceivedPart(
    List<String> classes,
    boolean isComplete,
    List<String> weights,
    String level,
    int retryPolicy,
    OptionalInt ackNumber) {

  private static final String MORE = "more";

  /** Returns whether further parts of the same update follow. */
  static boolean hasMore(List<String> strings) {
    return strings.contains(MORE);
  }

  /**
   * Decodes a part.
   *
   * @param strings the strings of its message: the message name, then alternating keys and values
   * @param allClasses the classes of a part that does not name any
   */
  static ReceivedPart of(List<String> strings, List<String> allClasses) {
    Map<String, String> fields = new HashMap<>();
    for (int position = 1; position < strings.size(); position += 2) {
      fields.put(strings.get(position), strings.get(position + 1));
    }
    String classes = fields.get("classes");
    String weights = fields.get("lines");
    String level = fields.get("level");
    String ackNumber = fields.get("ticket");
    return new ReceivedPart(
        classes == null ? allClasses : List.of(classes.split("\\+")),
        fields.containsKey("whole"),
        weights == null ? List.of() : List.of(weights.split(",")),
        level == null ? "" : level + " " + fields.get("retry"),
        Integer.parseInt(fields.getOrDefault("retry", "0")),
        ackNumber == null ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(ackNumber)));
  }

  /**
   * Returns the settings of the part: weights by request class and server (CLASS/SERVER), and
   * admission levels by request class.
   */
  Map<String, String> settings() {
    Map<String, String> settings = new HashMap<>();
    for (String requestClass : classes) {
      for (String weight : weights) {
        String server = weight.substring(0, weight.lastIndexOf(':'));
        settings.put(requestClass + "/" + server, weight);
      }
      if (!level.isEmpty()) {
        settings.put(requestClass, level);
      }
    }
    return settings;
  }

  /** Returns the given classes to which this part applies. */
  List<String> classesAmong(Iterable<String> candidates) {
    List<String> common = new ArrayList<>();
    for (String candidate : candidates) {
      if (classes.contains(candidate)) {
        common.add(candidate);
      }
    }
    return common;
  }
}
