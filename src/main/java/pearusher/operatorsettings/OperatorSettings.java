package pearusher.operatorsettings;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The operators' settings in force: the values of the file and the defaults for all others. A
 * subsystem whose block is missing is off. Immutable.
 */
public final class OperatorSettings {

  /**
   * A value in force.
   *
   * @param from its position in a file, or {@code default}
   */
  public record Value(SettingKey key, String text, String from) {}

  private static final String OFF = "off";
  private static final String FROM_DEFAULT = "default";

  private final Map<SettingKey, Value> givenValues;

  OperatorSettings(Map<SettingKey, Value> givenValues) {
    this.givenValues = new EnumMap<>(SettingKey.class);
    this.givenValues.putAll(givenValues);
  }

  /** Settings without a file: everything is off. */
  public static OperatorSettings none() {
    return new OperatorSettings(Map.of());
  }

  /**
   * Reads a file and those that it includes.
   *
   * @throws InvalidSettingsException with all faults that were found
   */
  public static OperatorSettings read(Path file) throws InvalidSettingsException {
    return SettingsValidator.validate(SettingsFileParser.read(file));
  }

  /**
   * Reads settings from a text, for programs that have no file.
   *
   * @param name stands for the file in positions
   * @throws InvalidSettingsException with all faults that were found
   */
  public static OperatorSettings parse(String name, String text) throws InvalidSettingsException {
    return SettingsValidator.validate(SettingsFileParser.parse(name, text));
  }

  /** Whether a block is there, which switches its subsystem on. */
  public boolean isEnabled(String block) {
    return givenValues.keySet().stream().anyMatch(key -> key.block().equals(block));
  }

  /** Whether the file sets this key. */
  boolean isGiven(SettingKey key) {
    return givenValues.containsKey(key);
  }

  /** A word or path as it is in force, or another value as it is written. */
  public String text(SettingKey key) {
    Value given = givenValues.get(key);
    return given != null ? given.text() : key.defaultText().orElseThrow();
  }

  /** Microseconds, bytes or a plain number, as it is in force. */
  public double number(SettingKey key) {
    return key.parse(text(key));
  }

  /** The values of all keys in their order; those of blocks that are off say so. */
  public List<Value> inForce() {
    return Arrays.stream(SettingKey.values()).map(this::valueInForce).toList();
  }

  private Value valueInForce(SettingKey key) {
    Value given = givenValues.get(key);
    if (given != null) {
      return given;
    }
    String text = isEnabled(key.block()) ? key.defaultText().orElse(OFF) : OFF;
    return new Value(key, text, FROM_DEFAULT);
  }
}
