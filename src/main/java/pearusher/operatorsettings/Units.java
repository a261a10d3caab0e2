package pearusher.operatorsettings;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/** Units of numbers. A number and its unit are written without a space between them. */
enum Units {
  TIME(
      List.of(
          new Unit("us", 1),
          new Unit("ms", 1e3),
          new Unit("s", 1e6),
          new Unit("min", 60e6),
          new Unit("h", 3600e6),
          new Unit("d", 86400e6))),
  SIZE(
      List.of(
          new Unit("B", 1),
          new Unit("KiB", 1024),
          new Unit("MiB", 1024.0 * 1024),
          new Unit("GiB", 1024.0 * 1024 * 1024),
          new Unit("TiB", 1024.0 * 1024 * 1024 * 1024))),
  NONE(List.of(new Unit("", 1)));

  private static final String DIGITS = "0123456789.";
  private static final int MAX_DIGITS = 18;

  private record Unit(String suffix, double factor) {
    /** Returns the value in this unit, without decimals if it is an integer. */
    String format(double value) {
      double amount = value / factor;
      String number = isInteger(amount) ? Long.toString((long) amount) : Double.toString(amount);
      return number + suffix;
    }

    /** Returns whether the value is a positive integer multiple of this unit. */
    boolean isMultiple(double value) {
      double amount = value / factor;
      return amount >= 1 && isInteger(amount);
    }

    private static boolean isInteger(double amount) {
      return amount == Math.rint(amount);
    }
  }

  /** Units in ascending order; the first is the base unit. */
  // The list is created by List.of and immutable, which Error Prone can't infer.
  @SuppressWarnings("ImmutableEnumChecker")
  private final List<Unit> units;

  Units(List<Unit> units) {
    this.units = units;
  }

  /**
   * Parses a number with its unit.
   *
   * @return microseconds, bytes or a number without a unit; empty if the text has another form
   */
  OptionalDouble parse(String text) {
    int digitCount = 0;
    while (digitCount < text.length() && DIGITS.indexOf(text.charAt(digitCount)) >= 0) {
      digitCount++;
    }
    Optional<Unit> unit = unit(text.substring(digitCount));
    if (unit.isEmpty() || digitCount == 0 || digitCount > MAX_DIGITS) {
      return OptionalDouble.empty();
    }
    try {
      return OptionalDouble.of(
          Double.parseDouble(text.substring(0, digitCount)) * unit.get().factor());
    } catch (NumberFormatException e) {
      return OptionalDouble.empty();
    }
  }

  private Optional<Unit> unit(String suffix) {
    return units.stream().filter(unit -> unit.suffix().equals(suffix)).findFirst();
  }

  /**
   * Formats a value in the largest unit of which it is an integer multiple, or in the smallest unit
   * if there is none.
   */
  String format(double value) {
    Unit largestUnit = units.get(0);
    for (Unit unit : units) {
      if (unit.isMultiple(value)) {
        largestUnit = unit;
      }
    }
    return largestUnit.format(value);
  }
}
