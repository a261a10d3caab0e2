package pearusher.operatorsettings;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Effective operators' settings: the values of the file, and defaults for all other keys. A
 * subsystem is off if the file has no block for it. Immutable.
 */
public final class OperatorSettings {

  /**
   * Effective value of a key.
   *
   * @param from the position of the value in a file, or {@code default}
   */
  public record Value(SettingKey key, String text, String from) {}

  private static final String OFF = "off";
  private static final String FROM_DEFAULT = "default";

  private final Map<SettingKey, Value> fileValues;

  OperatorSettings(Map<SettingKey, Value> fileValues) {
    this.fileValues = new EnumMap<>(SettingKey.class);
    this.fileValues.putAll(fileValues);
  }

  /** Returns the settings that apply without a file: every subsystem is off. */
  public static OperatorSettings none() {
    return new OperatorSettings(Map.of());
  }

  /**
   * Reads a file and the files that it includes.
   *
   * @throws InvalidSettingsException if a file is unreadable or invalid
   */
  public static OperatorSettings read(Path file) throws InvalidSettingsException {
    return SettingsValidator.validate(SettingsFileParser.read(file));
  }

  /**
   * Parses settings from a text.
   *
   * @param name the file name in positions, relative to which included files are resolved
   * @throws InvalidSettingsException if the text or an included file is invalid
   */
  public static OperatorSettings parse(String name, String text) throws InvalidSettingsException {
    return SettingsValidator.validate(SettingsFileParser.parse(name, text));
  }

  /** Returns whether the file sets a key of this block, which switches its subsystem on. */
  public boolean isEnabled(String block) {
    return fileValues.keySet().stream().anyMatch(key -> key.block().equals(block));
  }

  /** Returns whether the file sets this key. */
  boolean isSetInFile(SettingKey key) {
    return fileValues.containsKey(key);
  }

  /**
   * Returns the effective value of a key as it is written.
   *
   * @throws java.util.NoSuchElementException if the file does not set the key and it has no default
   */
  public String text(SettingKey key) {
    Value fileValue = fileValues.get(key);
    return fileValue != null ? fileValue.text() : key.defaultText().orElseThrow();
  }

  /** Returns the effective number of a key: microseconds, bytes, or a number without a unit. */
  public double number(SettingKey key) {
    return key.parse(text(key));
  }

  /**
   * Returns the effective values of all keys, in the order of {@link SettingKey}. Unset keys of
   * blocks that are off have the value {@code off}.
   */
  public List<Value> effectiveValues() {
    return Arrays.stream(SettingKey.values()).map(this::effectiveValue).toList();
  }

  private Value effectiveValue(SettingKey key) {
    Value fileValue = fileValues.get(key);
    if (fileValue != null) {
      return fileValue;
    }
    String text = isEnabled(key.block()) ? key.defaultText().orElse(OFF) : OFF;
    return new Value(key, text, FROM_DEFAULT);
  }
}
