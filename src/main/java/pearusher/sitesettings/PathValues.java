package pearusher.sitesettings;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Values by path, read from {@code path=value} lines or from nested JSON, which is flattened to the
 * same paths. It knows the meaning of no key; every fault names the path.
 */
public final class PathValues {
  private static final int MAX_ITEMS = 1 << 20;

  /** What stands before the path in each fault. */
  private final String faultPrefix;

  private final Map<String, String> values;

  private PathValues(String faultPrefix, Map<String, String> values) {
    this.faultPrefix = faultPrefix;
    this.values = values;
  }

  /**
   * Wraps values that were read elsewhere, without a copy.
   *
   * @param faultPrefix the text before the path in each fault
   */
  public static PathValues of(String faultPrefix, Map<String, String> values) {
    return new PathValues(faultPrefix, values);
  }

  /** Reads the simulator's form: a path, an equals sign and a value on each line. */
  public static PathValues parseLines(String text) {
    Map<String, String> values = new HashMap<>();
    for (String line : text.split("\n")) {
      int separator = line.indexOf('=');
      if (separator > 0) {
        values.put(line.substring(0, separator).trim(), line.substring(separator + 1).trim());
      }
    }
    return new PathValues("settings: the key ", values);
  }

  /**
   * Reads a JSON object.
   *
   * @param name what the text is, for faults
   */
  public static PathValues parseJson(String name, byte[] text) throws SettingsException {
    try {
      return parseJson(name, new ByteArrayInputStream(text), "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a JSON object from a stream.
   *
   * @param name what the text is, for faults
   * @param skippedKey a key of the outermost object whose value is only checked for its form
   */
  public static PathValues parseJson(String name, InputStream text, String skippedKey)
      throws SettingsException, IOException {
    return new PathValues(name + ": the key ", JsonFlattener.flatten(name, text, skippedKey));
  }

  /** The fault of a text that is no JSON. */
  public static SettingsException malformed(String name, IOException cause) {
    String text = String.valueOf(cause.getMessage());
    return new SettingsException(name + ": malformed JSON: " + text.lines().findFirst().orElse(""));
  }

  /** The values whose paths have a prefix, without it; faults name the complete path. */
  public PathValues below(String prefix) {
    Map<String, String> selected = new HashMap<>();
    values.forEach(
        (path, value) -> {
          if (path.startsWith(prefix)) {
            selected.put(path.substring(prefix.length()), value);
          }
        });
    return new PathValues(faultPrefix + prefix, selected);
  }

  /** Whether the key has a value. */
  public boolean has(String key) {
    return values.containsKey(key);
  }

  public boolean isEmpty() {
    return values.isEmpty();
  }

  /** A fault of a key; the text says what is wrong with it. */
  public SettingsException fault(String key, String text) {
    return new SettingsException(faultPrefix + key + " " + text);
  }

  private SettingsException unreadable(String key, String value) {
    return fault(key, "is unreadable: '" + value + "'");
  }

  /** The text of a key that may be left out. */
  public Optional<String> text(String key) {
    return Optional.ofNullable(values.get(key));
  }

  /** Whether a key that may be left out has this text. */
  public boolean isSetTo(String key, String text) {
    return text.equals(values.get(key));
  }

  /** The text of a key. */
  public String require(String key) throws SettingsException {
    return text(key).orElseThrow(() -> fault(key, "is missing"));
  }

  /** A finite number. */
  public double requireDouble(String key) throws SettingsException {
    String text = require(key);
    try {
      double value = Double.parseDouble(text);
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw unreadable(key, text);
    }
    throw unreadable(key, text);
  }

  /** A number, rounded to the nearest whole one. */
  public long requireLong(String key) throws SettingsException {
    return Math.round(requireDouble(key));
  }

  /** A number that is 0 where it is left out. */
  public double doubleOrZero(String key) throws SettingsException {
    return has(key) ? requireDouble(key) : 0;
  }

  /** A whole number within bounds, or the default where it is left out. */
  public int intBetween(String key, int min, int max, int defaultValue) throws SettingsException {
    if (!has(key)) {
      return defaultValue;
    }
    double value = requireDouble(key);
    if (value != Math.rint(value) || value < min || value > max) {
      throw fault(key, "is out of range: " + require(key) + " (" + min + " to " + max + ")");
    }
    return (int) value;
  }

  /** Either {@code true} or {@code false}. */
  public boolean requireBoolean(String key) throws SettingsException {
    return requireOneOf(key, Map.of("true", true, "false", false));
  }

  /** What a key's text stands for among known texts. */
  public <T> T requireOneOf(String key, Map<String, T> meanings) throws SettingsException {
    String text = require(key);
    T meaning = meanings.get(text);
    if (meaning == null) {
      throw unreadable(key, text);
    }
    return meaning;
  }

  /** A list of plain values. */
  public List<String> requireList(String key) throws SettingsException {
    require(key);
    return listOrEmpty(key);
  }

  /** A list of plain values that is empty where it is left out. */
  public List<String> listOrEmpty(String key) {
    String text = values.getOrDefault(key, "");
    return text.isEmpty() ? List.of() : List.of(text.split(","));
  }

  /** The values of one key of each object in a list, which is empty where it is left out. */
  public List<String> requireEach(String listKey, String key) throws SettingsException {
    int count = intBetween(listKey + ".count", 0, MAX_ITEMS, 0);
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      texts.add(require(listKey + "." + i + "." + key));
    }
    return texts;
  }
}
