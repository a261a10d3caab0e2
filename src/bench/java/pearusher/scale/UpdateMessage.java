package pearusher.scale;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * One part of an update, decoded strictly: each deviation from the protocol is rejected. Immutable.
 *
 * @param classes the request classes of the part, as bits
 * @param isCompleteTable whether the part replaces the tables of the classes
 * @param hasWeights whether the part contains weights
 * @param mark the mark to be acknowledged
 * @param isLast whether the part is the last of its update
 */
record UpdateMessage(
    int classes,
    boolean isCompleteTable,
    boolean hasWeights,
    Optional<String> mark,
    boolean isLast) {

  /** Thrown when a message cannot be decoded. The exception's message names the cause. */
  static final class UndecodableException extends Exception {
    private static final long serialVersionUID = 1L;

    UndecodableException(String cause) {
      super(cause);
    }
  }

  private static final Set<String> FLAGS = Set.of("whole", "more");
  private static final String SERVER_PATTERN = "s-[0-9a-f]{8}";
  private static final String DECIMAL_PATTERN = "\\d+(\\.\\d+)?";
  private static final Pattern FLAG = Pattern.compile("1");
  private static final Pattern CLASS = Pattern.compile("c\\d{1,2}");
  private static final Pattern SERVER = Pattern.compile(SERVER_PATTERN);
  private static final Pattern WEIGHT = Pattern.compile(SERVER_PATTERN + ":" + DECIMAL_PATTERN);
  private static final Pattern DECIMAL = Pattern.compile(DECIMAL_PATTERN);
  private static final Pattern INTEGER = Pattern.compile("\\d{1,9}");

  /** Decodes a message for a proxy with this number of request classes. */
  static UpdateMessage decode(RespScanner.View message, int classCount)
      throws UndecodableException {
    Map<String, String> fields = readFields(message);
    for (Map.Entry<String, String> field : fields.entrySet()) {
      checkField(field.getKey(), field.getValue());
    }
    if (fields.containsKey("level") != fields.containsKey("retry")) {
      throw new UndecodableException(
          "expected the fields level and retry together, got only one of them");
    }
    return new UpdateMessage(
        readClasses(fields.get("classes"), classCount),
        fields.containsKey("whole"),
        fields.containsKey("lines"),
        Optional.ofNullable(fields.get("ticket")),
        !fields.containsKey("more"));
  }

  private static Map<String, String> readFields(RespScanner.View message)
      throws UndecodableException {
    if (message.fieldCount() % 2 == 0 || !message.text(0).equals("update")) {
      throw new UndecodableException(
          "expected an update with pairs of names and values, got "
              + message.fieldCount()
              + " fields starting with "
              + message.text(0));
    }
    Map<String, String> fields = new LinkedHashMap<>();
    for (int field = 1; field < message.fieldCount(); field += 2) {
      if (fields.put(message.text(field), message.text(field + 1)) != null) {
        throw new UndecodableException("duplicate field " + message.text(field));
      }
    }
    return fields;
  }

  private static void checkField(String name, String value) throws UndecodableException {
    if (FLAGS.contains(name)) {
      checkList(name, FLAG, List.of(value));
      return;
    }
    switch (name) {
      case "classes" -> checkList(name, CLASS, split(value, "\\+"));
      case "lines" -> checkList(name, WEIGHT, split(value, ","));
      case "out", "back" -> checkList(name, SERVER, split(value, ","));
      case "level" -> checkList(name, DECIMAL, List.of(value));
      case "retry", "ticket" -> checkList(name, INTEGER, List.of(value));
      default -> throw new UndecodableException("unknown field " + name);
    }
  }

  /** Splits a list and keeps empty elements, so that they are rejected. */
  private static List<String> split(String list, String separator) {
    return Arrays.asList(list.split(separator, -1));
  }

  private static void checkList(String name, Pattern pattern, List<String> values)
      throws UndecodableException {
    for (String value : values) {
      if (!pattern.matcher(value).matches()) {
        throw new UndecodableException("invalid value of the field " + name + ": " + value);
      }
    }
  }

  private static int readClasses(String names, int classCount) throws UndecodableException {
    if (names == null) {
      return (1 << classCount) - 1;
    }
    int classes = 0;
    for (String name : split(names, "\\+")) {
      int number = Integer.parseInt(name.substring(1));
      if (number >= classCount) {
        throw new UndecodableException("unknown class " + name);
      }
      classes |= 1 << number;
    }
    return classes;
  }
}
