package pearusher.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * A part of an update as a proxy receives it.
 *
 * @param classes the request classes that it is for
 * @param isComplete whether it replaces the table
 * @param weights entries of the form SERVER:WEIGHT
 * @param level admission level and retry policy as one text; empty if there is none
 * @param retryPolicy the number of the retry policy; 0 if there is none
 */
record ReceivedPart(
    List<String> classes,
    boolean isComplete,
    List<String> weights,
    String level,
    int retryPolicy,
    OptionalInt ackNumber) {

  private static final String MORE = "more";

  /** Whether further parts of the same update follow. */
  static boolean hasMore(List<String> strings) {
    return strings.contains(MORE);
  }

  /**
   * Decodes a part.
   *
   * @param strings the strings of its message: a name, then keys and values
   * @param allClasses the classes of a part that names none
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

  /** Returns what the part sets, by request class, and by request class and server. */
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

  /** Returns the classes of this part that are among others. */
  List<String> classesAmong(Iterable<String> others) {
    List<String> common = new ArrayList<>();
    for (String other : others) {
      if (classes.contains(other)) {
        common.add(other);
      }
    }
    return common;
  }
}
