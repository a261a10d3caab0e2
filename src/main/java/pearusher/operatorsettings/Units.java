package pearusher.operatorsettings;

import java.util.LinkedHashMap;
import java.util.Map;

/** Numbers with units: times in microseconds, sizes in bytes. */
final class Units {
  /** Largest last, so that {@link #write} ends with the largest that fits. */
  static final Map<String, Double> TIMES = new LinkedHashMap<>();

  static final Map<String, Double> SIZES = new LinkedHashMap<>();
  static final Map<String, Double> NONE = Map.of("", 1.0);

  static {
    TIMES.put("us", 1.0);
    TIMES.put("ms", 1e3);
    TIMES.put("s", 1e6);
    TIMES.put("min", 60e6);
    TIMES.put("h", 3600e6);
    TIMES.put("d", 86400e6);
    SIZES.put("B", 1.0);
    SIZES.put("KiB", 1024.0);
    SIZES.put("MiB", 1024.0 * 1024);
    SIZES.put("GiB", 1024.0 * 1024 * 1024);
    SIZES.put("TiB", 1024.0 * 1024 * 1024 * 1024);
  }

  private Units() {}

  /** A number and, directly after it, one of the units; NaN for anything else. */
  static double read(String text, Map<String, Double> units) {
    int end = 0;
    while (end < text.length() && "0123456789.".indexOf(text.charAt(end)) >= 0) {
      end++;
    }
    Double unit = units.get(text.substring(end));
    if (unit == null || end == 0 || end > 18) {
      return Double.NaN;
    }
    try {
      return Double.parseDouble(text.substring(0, end)) * unit;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  static String write(double value, Map<String, Double> units) {
    String out = "";
    for (Map.Entry<String, Double> unit : units.entrySet()) {
      double in = value / unit.getValue();
      if (out.isEmpty() || (in >= 1 && in == Math.rint(in))) {
        out =
            (in == Math.rint(in) ? Long.toString((long) in) : Double.toString(in)) + unit.getKey();
      }
    }
    return out;
  }
}
