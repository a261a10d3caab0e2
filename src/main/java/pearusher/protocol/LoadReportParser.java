package pearusher.protocol;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parser of the load reports of servers in messages and in responses to health checks. A parsed
 * report lists the metrics in the order of the settings, with 0 for a missing metric. It is empty
 * if no metric is valid. Unknown metrics are ignored. Immutable; any thread may use it.
 */
public final class LoadReportParser {
  private static final char PAIR_SEPARATOR = ',';
  static final char FIELD_VALUE_SEPARATOR = ':';
  private static final char BODY_VALUE_SEPARATOR = '=';
  private static final String BODY_PREFIX = "TEXT";

  private final List<String> metrics;

  /**
   * Creates a parser.
   *
   * @param names the names of the metrics
   */
  public LoadReportParser(WireNames names) {
    metrics = names.loadMetrics();
  }

  /**
   * Parses the body of a response to a health check: the prefix {@code TEXT}, then name-value
   * pairs.
   *
   * @param body the received bytes
   * @return the metrics, or an empty array if the body has no valid metric
   */
  public float[] parseHealthCheckBody(byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8).trim();
    String pairs = text.startsWith(BODY_PREFIX) ? text.substring(BODY_PREFIX.length()) : "";
    return parsePairs(pairs, BODY_VALUE_SEPARATOR);
  }

  /**
   * Parses the load field of a message.
   *
   * @throws MalformedMessageException if a pair has no name, or its value is not a decimal number
   *     of at least 0
   */
  float[] parseField(String text) throws MalformedMessageException {
    if (!text.isEmpty()) {
      checkPairs(text);
    }
    return parsePairs(text, FIELD_VALUE_SEPARATOR);
  }

  private static void checkPairs(String text) throws MalformedMessageException {
    for (int start = 0; start <= text.length(); ) {
      int end = endOfPair(text, start);
      checkPair(text.substring(start, end), text);
      start = end + 1;
    }
  }

  /** Returns the end of the pair that starts at a position: that of its separator or the text. */
  private static int endOfPair(String text, int start) {
    int separator = text.indexOf(PAIR_SEPARATOR, start);
    return separator < 0 ? text.length() : separator;
  }

  private static void checkPair(String pair, String text) throws MalformedMessageException {
    int separator = pair.indexOf(FIELD_VALUE_SEPARATOR);
    boolean valid;
    try {
      valid =
          separator > 0 && MessageFields.parseDecimal(pair.substring(separator + 1).trim()) >= 0;
    } catch (NumberFormatException e) {
      throw MessageFields.fault(
          MessageDecoder.LOAD, "has a value that is not a decimal number", text);
    }
    if (!valid) {
      throw MessageFields.fault(
          MessageDecoder.LOAD, "is not a list of name:value pairs with values of at least 0", text);
    }
  }

  /** Parses name-value pairs one at a time; ignores pairs without a finite value. */
  float[] parsePairs(String text, char valueSeparator) {
    Metrics values = new Metrics();
    for (int start = 0; start < text.length(); ) {
      int end = endOfPair(text, start);
      addPair(values, text.substring(start, end), valueSeparator);
      start = end + 1;
    }
    return values.toLoad();
  }

  private static void addPair(Metrics values, String pair, char valueSeparator) {
    int separator = pair.indexOf(valueSeparator);
    if (separator < 0) {
      return;
    }
    String name = pair.substring(0, separator).trim();
    try {
      float value = Float.parseFloat(pair.substring(separator + 1).trim());
      if (Float.isFinite(value)) {
        values.put(WireNames.canonicalMetric(name), value);
      }
    } catch (NumberFormatException e) {
      values.remove(name);
    }
  }

  /**
   * The values of a report. Its size is that of the settings' metrics, whatever a report names:
   * unknown metrics are not kept.
   */
  private final class Metrics {
    private final Map<String, Float> known = new HashMap<>();
    private boolean hasUnknown;

    void put(String metric, float value) {
      if (metrics.contains(metric)) {
        known.put(metric, value);
      } else {
        hasUnknown = true;
      }
    }

    void remove(String metric) {
      known.remove(metric);
    }

    /** Returns the metrics in the order of the settings; empty if the report has no valid one. */
    float[] toLoad() {
      if (known.isEmpty() && !hasUnknown) {
        return new float[0];
      }
      float[] load = new float[metrics.size()];
      for (int k = 0; k < load.length; k++) {
        load[k] = known.getOrDefault(metrics.get(k), 0f);
      }
      return load;
    }
  }
}
