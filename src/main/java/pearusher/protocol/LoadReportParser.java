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
  private static final String PAIR_SEPARATOR = ",";
  static final String FIELD_VALUE_SEPARATOR = ":";
  private static final String BODY_VALUE_SEPARATOR = "=";
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
      for (String pair : text.split(PAIR_SEPARATOR, -1)) {
        checkPair(pair, text);
      }
    }
    return parsePairs(text, FIELD_VALUE_SEPARATOR);
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

  /** Parses name-value pairs; ignores pairs without a finite value. */
  float[] parsePairs(String text, String valueSeparator) {
    Map<String, Float> values = new HashMap<>();
    for (String pair : text.split(PAIR_SEPARATOR)) {
      addPair(values, pair.trim().split(valueSeparator, 2));
    }
    if (values.isEmpty()) {
      return new float[0];
    }
    float[] load = new float[metrics.size()];
    for (int k = 0; k < load.length; k++) {
      load[k] = values.getOrDefault(metrics.get(k), 0f);
    }
    return load;
  }

  private static void addPair(Map<String, Float> values, String[] pair) {
    String name = pair[0].trim();
    if (pair.length < 2) {
      return;
    }
    try {
      float value = Float.parseFloat(pair[1].trim());
      if (Float.isFinite(value)) {
        values.put(WireNames.canonicalMetric(name), value);
      }
    } catch (NumberFormatException e) {
      values.remove(name);
    }
  }
}
