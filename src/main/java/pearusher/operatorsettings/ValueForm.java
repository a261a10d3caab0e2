package pearusher.operatorsettings;

import java.util.List;
import java.util.OptionalDouble;

/** Syntax and bounds of the value of a setting. */
sealed interface ValueForm {
  /**
   * Parses a value.
   *
   * @return microseconds, bytes or a number without a unit; 0 for choices and paths, which are only
   *     validated
   * @throws IllegalArgumentException if the value is invalid; the message says what is accepted
   */
  double parse(String text);

  /** Returns the form of a value that is one of several words. */
  static ValueForm choice(String... words) {
    return new Choice(List.of(words));
  }

  /** Returns the form of a file system path. */
  static ValueForm path() {
    return new PathForm();
  }

  /** Returns the form of a time with its unit; the bounds are microseconds. */
  static ValueForm duration(double minUs, double maxUs) {
    return new Quantity("a duration", "20ms, 5s or 10min", Units.TIME, false, minUs, maxUs);
  }

  /** Returns the form of a size with its unit; the bounds are bytes. */
  static ValueForm size(double minBytes, double maxBytes) {
    return new Quantity("a size", "64KiB or 8MiB", Units.SIZE, false, minBytes, maxBytes);
  }

  /** Returns the form of an integer. */
  static ValueForm count(double min, double max) {
    return new Quantity("a whole number", "5000", Units.NONE, true, min, max);
  }

  /** Returns the form of a number that may have decimals. */
  static ValueForm ratio(double min, double max) {
    return new Quantity("a number", "1.5", Units.NONE, false, min, max);
  }

  /** Value that is one of several words. */
  record Choice(List<String> words) implements ValueForm {
    @Override
    public double parse(String text) {
      if (!words.contains(text)) {
        throw new IllegalArgumentException(
            "'"
                + text
                + "' is not one of "
                + String.join(", ", words)
                + SpellingHint.hint(text, words));
      }
      return 0;
    }
  }

  /** File system path, which is neither blank nor contains a NUL character. */
  record PathForm() implements ValueForm {
    private static final String EXAMPLE = "/var/lib/pearusher";

    @Override
    public double parse(String text) {
      if (text.isBlank() || text.indexOf('\0') >= 0) {
        throw new IllegalArgumentException("an empty path; write one like " + EXAMPLE);
      }
      return 0;
    }
  }

  /**
   * Number within bounds, with a unit.
   *
   * @param name the name of the form in error messages
   * @param example a valid value for error messages
   * @param isInteger whether decimals are rejected
   * @param min the smallest accepted value in the base unit
   * @param max the largest accepted value in the base unit
   */
  record Quantity(
      String name, String example, Units units, boolean isInteger, double min, double max)
      implements ValueForm {
    @Override
    public double parse(String text) {
      OptionalDouble parsed = units.parse(text);
      if (parsed.isEmpty()
          || (isInteger && parsed.getAsDouble() != Math.rint(parsed.getAsDouble()))) {
        throw new IllegalArgumentException(
            "'" + text + "' is not " + name + "; write one like " + example);
      }
      double value = parsed.getAsDouble();
      if (value < min || value > max) {
        throw new IllegalArgumentException(
            "'"
                + text
                + "' is out of range; it may be "
                + units.format(min)
                + " to "
                + units.format(max));
      }
      return value;
    }
  }
}
