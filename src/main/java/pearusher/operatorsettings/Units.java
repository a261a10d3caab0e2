package pearusher.operatorsettings;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/** Numbers with a unit directly after them: times in microseconds, sizes in bytes. */
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
    /** The value in this unit; a whole number has no decimals. */
    String format(double value) {
      double amount = value / factor;
      String digits = isWhole(amount) ? Long.toString((long) amount) : Double.toString(amount);
      return digits + suffix;
    }

    /** Whether the value is at least one of this unit and a multiple of it. */
    boolean fits(double value) {
      double amount = value / factor;
      return amount >= 1 && isWhole(amount);
    }

    private static boolean isWhole(double amount) {
      return amount == Math.rint(amount);
    }
  }

  /** Smallest first. */
  // The list is made with List.of, which the check can't see.
  @SuppressWarnings("ImmutableEnumChecker")
  private final List<Unit> units;

  Units(List<Unit> units) {
    this.units = units;
  }

  /** Reads a number and its unit; empty where the text is anything else. */
  OptionalDouble parse(String text) {
    int digits = 0;
    while (digits < text.length() && DIGITS.indexOf(text.charAt(digits)) >= 0) {
      digits++;
    }
    Optional<Unit> unit = unit(text.substring(digits));
    if (unit.isEmpty() || digits == 0 || digits > MAX_DIGITS) {
      return OptionalDouble.empty();
    }
    try {
      return OptionalDouble.of(Double.parseDouble(text.substring(0, digits)) * unit.get().factor());
    } catch (NumberFormatException e) {
      return OptionalDouble.empty();
    }
  }

  private Optional<Unit> unit(String suffix) {
    return units.stream().filter(unit -> unit.suffix().equals(suffix)).findFirst();
  }

  /** Writes a value in the largest unit of which it is a multiple, else in the smallest. */
  String format(double value) {
    Unit best = units.get(0);
    for (Unit unit : units) {
      if (unit.fits(value)) {
        best = unit;
      }
    }
    return best.format(value);
  }
}
