package pearusher.protocol;

import java.math.BigDecimal;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The named fields of one message, whose values are validated on access. The last value of a
 * repeated name is used. Not thread-safe. Its memory use is proportional to the message.
 */
final class MessageFields {
  private static final String DECIMAL_CHARACTERS = "0123456789.+-eE";
  private static final int MICROS_PER_MILLI = 1000;

  private final Map<String, String> values = new HashMap<>();

  /** Creates the fields from the strings of a message: its kind, then names and values in turn. */
  MessageFields(List<String> strings) {
    for (int k = 1; k < strings.size(); k += 2) {
      values.put(strings.get(k), strings.get(k + 1));
    }
  }

  /** Returns the value of a field, or an empty string if the message does not have the field. */
  String getOrEmpty(String name) {
    return values.getOrDefault(name, "");
  }

  /** Returns the value of a field; rejects the message if it does not have the field. */
  String require(String name) throws MalformedMessageException {
    String value = values.get(name);
    if (value == null) {
      throw new MalformedMessageException("the value " + name + " is missing");
    }
    return value;
  }

  /** Returns the value of a field as a number from 0 to a maximum. */
  double requireNumber(String name, double max) throws MalformedMessageException {
    String value = require(name);
    double number;
    try {
      number = parseDecimal(value);
    } catch (NumberFormatException e) {
      throw fault(name, "is not a decimal number", value);
    }
    if (number >= 0 && number <= max) {
      return number;
    }
    throw fault(
        name, "is out of range, expected 0 to " + BigDecimal.valueOf(max).toPlainString(), value);
  }

  /** Returns the value of a field as an integer from 0 to a maximum. */
  long requireInteger(String name, double max) throws MalformedMessageException {
    double number = requireNumber(name, max);
    if (number != Math.rint(number)) {
      throw fault(name, "is not an integer", require(name));
    }
    return (long) number;
  }

  /** Returns the value of a field, which is a time in milliseconds, in microseconds. */
  long requireMicros(String name, double maxMillis) throws MalformedMessageException {
    return Math.round(requireNumber(name, maxMillis) * MICROS_PER_MILLI);
  }

  /** Returns the value of a field that must be 0 or 1. */
  boolean requireFlag(String name) throws MalformedMessageException {
    String value = require(name);
    return switch (value) {
      case "1" -> true;
      case "0" -> false;
      default -> throw fault(name, "is neither 0 nor 1", value);
    };
  }

  /** Returns the index of the name that is the value of a field. */
  int requireIndex(String name, Map<String, Integer> indexes) throws MalformedMessageException {
    String value = require(name);
    Integer index = indexes.get(value);
    if (index == null) {
      throw new MalformedMessageException(
          "unknown " + name + " '" + FaultText.abbreviate(value) + "'");
    }
    return index;
  }

  /** Creates an exception that names a field and quotes its value. */
  static MalformedMessageException fault(String name, String problem, String value) {
    return new MalformedMessageException(
        "the value " + name + " " + problem + ": '" + FaultText.abbreviate(value) + "'");
  }

  /**
   * Parses a decimal number. {@link Double#parseDouble} alone would also accept names such as
   * {@code NaN} and hexadecimal numbers.
   *
   * @throws NumberFormatException if the text is not a decimal number
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
