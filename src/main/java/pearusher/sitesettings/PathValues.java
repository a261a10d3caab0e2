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
 * Settings values by path, read from {@code path=value} lines or from nested JSON, which is
 * flattened to the same paths. Independent of the meaning of keys. Every error message names the
 * path. Immutable if the wrapped map is.
 */
public final class PathValues {
  private static final int MAX_LIST_ITEMS = 1 << 20;

  /** Text in front of the path in each error message. */
  private final String faultPrefix;

  private final Map<String, String> values;

  private PathValues(String faultPrefix, Map<String, String> values) {
    this.faultPrefix = faultPrefix;
    this.values = values;
  }

  /**
   * Wraps a map of values without copying it.
   *
   * @param faultPrefix the text in front of the path in each error message
   */
  public static PathValues of(String faultPrefix, Map<String, String> values) {
    return new PathValues(faultPrefix, values);
  }

  /**
   * Parses the simulator's format: a path, an equals sign and a value on each line. Lines that
   * start with an equals sign or contain none are ignored. The last of several lines with the same
   * path applies.
   */
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
   * Parses a JSON object.
   *
   * @param name the name of the document in error messages
   * @throws SettingsException if the text is not exactly one well-formed JSON object
   */
  public static PathValues parseJson(String name, byte[] text) throws SettingsException {
    try {
      return parseJson(name, new ByteArrayInputStream(text), "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a JSON object from a stream.
   *
   * @param name the name of the document in error messages
   * @param skippedKey a key of the outermost object whose value is parsed but omitted; empty for
   *     none
   * @throws SettingsException if the text is not exactly one well-formed JSON object
   * @throws IOException if the stream can't be read
   */
  public static PathValues parseJson(String name, InputStream text, String skippedKey)
      throws SettingsException, IOException {
    return new PathValues(name + ": the key ", JsonFlattener.flatten(name, text, skippedKey));
  }

  /** Returns the exception for malformed JSON, with the first line of the parser's message. */
  public static SettingsException malformed(String name, IOException cause) {
    String text = String.valueOf(cause.getMessage());
    return new SettingsException(name + ": malformed JSON: " + text.lines().findFirst().orElse(""));
  }

  /**
   * Returns the values whose paths start with a prefix, under paths without it. Error messages name
   * the complete path.
   */
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

  /** Returns whether the key has a value. */
  public boolean has(String key) {
    return values.containsKey(key);
  }

  public boolean isEmpty() {
    return values.isEmpty();
  }

  /**
   * Returns an exception that names a key.
   *
   * @param text the predicate of the message, such as {@code is missing}
   */
  public SettingsException fault(String key, String text) {
    return new SettingsException(faultPrefix + key + " " + text);
  }

  private SettingsException unparsableValue(String key, String value) {
    return fault(key, "is unreadable: '" + value + "'");
  }

  /** Returns the text of an optional key; empty if it is absent. */
  public Optional<String> text(String key) {
    return Optional.ofNullable(values.get(key));
  }

  /** Returns whether an optional key is present and has this text. */
  public boolean isSetTo(String key, String text) {
    return text.equals(values.get(key));
  }

  /**
   * Returns the text of a required key.
   *
   * @throws SettingsException if the key is absent
   */
  public String require(String key) throws SettingsException {
    return text(key).orElseThrow(() -> fault(key, "is missing"));
  }

  /**
   * Returns the number of a required key.
   *
   * @throws SettingsException if the key is absent or its value is not a finite number
   */
  public double requireDouble(String key) throws SettingsException {
    String text = require(key);
    try {
      double value = Double.parseDouble(text);
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw unparsableValue(key, text);
    }
    throw unparsableValue(key, text);
  }

  /**
   * Returns the number of a required key, rounded to the nearest integer.
   *
   * @throws SettingsException if the key is absent or its value is not a finite number
   */
  public long requireLong(String key) throws SettingsException {
    return Math.round(requireDouble(key));
  }

  /**
   * Returns the number of an optional key; 0 if it is absent.
   *
   * @throws SettingsException if the value is not a finite number
   */
  public double doubleOrZero(String key) throws SettingsException {
    return has(key) ? requireDouble(key) : 0;
  }

  /**
   * Returns the integer of an optional key, or the default if the key is absent.
   *
   * @throws SettingsException if the value is not an integer from {@code min} to {@code max}
   */
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

  /**
   * Returns the boolean of a required key.
   *
   * @throws SettingsException if the value is neither {@code true} nor {@code false}
   */
  public boolean requireBoolean(String key) throws SettingsException {
    return requireOneOf(key, Map.of("true", true, "false", false));
  }

  /**
   * Returns the value that corresponds to the text of a required key.
   *
   * @param valuesByText the accepted texts
   * @throws SettingsException if the key is absent or has another text
   */
  public <T> T requireOneOf(String key, Map<String, T> valuesByText) throws SettingsException {
    String text = require(key);
    T value = valuesByText.get(text);
    if (value == null) {
      throw unparsableValue(key, text);
    }
    return value;
  }

  /**
   * Returns the comma-separated list of a required key.
   *
   * @throws SettingsException if the key is absent
   */
  public List<String> requireList(String key) throws SettingsException {
    require(key);
    return listOrEmpty(key);
  }

  /** Returns the comma-separated list of an optional key; empty if it is absent. */
  public List<String> listOrEmpty(String key) {
    String text = values.getOrDefault(key, "");
    return text.isEmpty() ? List.of() : List.of(text.split(","));
  }

  /**
   * Returns the texts of one required key of each object in an optional list of objects.
   *
   * @return the texts in the order of the list; empty if the list is absent
   * @throws SettingsException if the key is absent in an object
   */
  public List<String> requireEach(String listKey, String key) throws SettingsException {
    int count = intBetween(listKey + ".count", 0, MAX_LIST_ITEMS, 0);
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      texts.add(require(listKey + "." + i + "." + key));
    }
    return texts;
  }
}
