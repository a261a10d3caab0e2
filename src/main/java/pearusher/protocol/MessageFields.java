package pearusher.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The named fields of one message, with their values checked as they are read. If a name occurs
 * more than once, its last value counts. It grows with the message and belongs to one thread.
 */
final class MessageFields {
  private static final String DECIMAL_CHARACTERS = "0123456789.+-eE";
  private static final int MICROS_PER_MILLI = 1000;

  private final Map<String, String> values = new HashMap<>();

  /** Takes the strings of a message: its kind, then names and values in turn. */
  MessageFields(List<String> strings) {
    for (int k = 1; k < strings.size(); k += 2) {
      values.put(strings.get(k), strings.get(k + 1));
    }
  }

  String getOrEmpty(String name) {
    return values.getOrDefault(name, "");
  }

  String require(String name) throws MalformedMessageException {
    String value = values.get(name);
    if (value == null) {
      throw new MalformedMessageException("the value " + name + " is missing");
    }
    return value;
  }

  /** Reads a number from 0 to a maximum. */
  double requireNumber(String name, double max) throws MalformedMessageException {
    String value = require(name);
    double number;
    try {
      number = parseDecimal(value);
    } catch (NumberFormatException e) {
      throw fault(name, "is unreadable", value);
    }
    if (number >= 0 && number <= max) {
      return number;
    }
    throw outOfRange(name, value);
  }

  /** Reads an integer from 0 to a maximum. */
  long requireInteger(String name, double max) throws MalformedMessageException {
    double number = requireNumber(name, max);
    if (number != Math.rint(number)) {
      throw fault(name, "is not a whole number", require(name));
    }
    return (long) number;
  }

  /** Reads a time in milliseconds and returns it in microseconds. */
  long requireMicros(String name, double maxMillis) throws MalformedMessageException {
    return Math.round(requireNumber(name, maxMillis) * MICROS_PER_MILLI);
  }

  boolean requireFlag(String name) throws MalformedMessageException {
    String value = require(name);
    return switch (value) {
      case "1" -> true;
      case "0" -> false;
      default -> throw fault(name, "is neither 0 nor 1", value);
    };
  }

  /** Reads a name and returns its index. */
  int requireIndex(String name, Map<String, Integer> indexes) throws MalformedMessageException {
    String value = require(name);
    Integer index = indexes.get(value);
    if (index == null) {
      throw new MalformedMessageException(
          "the " + name + " '" + FaultText.abbreviate(value) + "' is not known");
    }
    return index;
  }

  static MalformedMessageException outOfRange(String name, String value) {
    return fault(name, "is out of range", value);
  }

  static MalformedMessageException fault(String name, String problem, String value) {
    return new MalformedMessageException(
        "the value " + name + " " + problem + ": '" + FaultText.abbreviate(value) + "'");
  }

  /**
   * Parses a decimal number; {@link Double#parseDouble} alone would accept names and other bases
   * too.
   */
  static double parseDecimal(String text) {
    for (int k = 0; k < text.length(); k++) {
      if (DECIMAL_CHARACTERS.indexOf(text.charAt(k)) < 0) {
        throw new NumberFormatException(text);
      }
    }
    return Double.parseDouble(text);
  }
}
