package pearusher.operatorsettings;

import java.util.List;
import java.util.OptionalDouble;

/** How the value of a setting is written, and what it may be. */
sealed interface ValueForm {
  /**
   * Reads a value.
   *
   * @return microseconds, bytes or a plain number; 0 for choices and paths, which are only checked
   * @throws IllegalArgumentException saying what would be right
   */
  double parse(String text);

  /** One of some words. */
  static ValueForm choice(String... words) {
    return new Choice(List.of(words));
  }

  /** A path of the file system. */
  static ValueForm path() {
    return new PathForm();
  }

  /** A time with its unit; the bounds are microseconds. */
  static ValueForm duration(double minUs, double maxUs) {
    return new Quantity("a duration", "20ms, 5s or 10min", Units.TIME, false, minUs, maxUs);
  }

  /** A size with its unit; the bounds are bytes. */
  static ValueForm size(double minBytes, double maxBytes) {
    return new Quantity("a size", "64KiB or 8MiB", Units.SIZE, false, minBytes, maxBytes);
  }

  /** A whole number. */
  static ValueForm count(double min, double max) {
    return new Quantity("a whole number", "5000", Units.NONE, true, min, max);
  }

  /** A number that may have decimals. */
  static ValueForm ratio(double min, double max) {
    return new Quantity("a number", "1.5", Units.NONE, false, min, max);
  }

  /** One of some words. */
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

  /** A path of the file system. */
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

  /** A number within bounds, with a unit. */
  record Quantity(String name, String example, Units units, boolean isWhole, double min, double max)
      implements ValueForm {
    @Override
    public double parse(String text) {
      OptionalDouble parsed = units.parse(text);
      if (parsed.isEmpty()
          || (isWhole && parsed.getAsDouble() != Math.rint(parsed.getAsDouble()))) {
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
