package pearusher.operatorsettings;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Validator of the lines of a settings file, first of each line and then of related keys. */
final class SettingsValidator {
  private static final String INTERVAL_SYNC = "interval";

  private final List<SettingLine> lines;
  private final Map<SettingKey, OperatorSettings.Value> values = new EnumMap<>(SettingKey.class);
  private final List<SettingsFault> faults = new ArrayList<>();

  private SettingsValidator(List<SettingLine> lines) {
    this.lines = lines;
  }

  /**
   * Validates lines and returns their settings.
   *
   * @throws InvalidSettingsException if a line or a combination of values is invalid
   */
  static OperatorSettings validate(List<SettingLine> lines) throws InvalidSettingsException {
    return new SettingsValidator(lines).validate();
  }

  private OperatorSettings validate() throws InvalidSettingsException {
    lines.forEach(this::addLine);
    OperatorSettings settings = new OperatorSettings(values);
    if (faults.isEmpty() && settings.isEnabled("store")) {
      checkStore(settings);
    }
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults);
    }
    return settings;
  }

  private void addLine(SettingLine line) {
    if (!SettingKey.blocks().contains(line.block())) {
      addFault(line, line.block().isEmpty() ? outsideOfBlocks(line) : unknownBlock(line.block()));
      return;
    }
    Optional<SettingKey> key = SettingKey.of(line.block(), line.keyword());
    if (key.isEmpty()) {
      List<String> keywords = SettingKey.keywords(line.block());
      addFault(line, "no such key" + SpellingHint.hint(line.keyword(), keywords));
      return;
    }
    addValue(key.get(), line);
  }

  private static String outsideOfBlocks(SettingLine line) {
    return SettingKey.blocks().contains(line.keyword())
        ? "is a block; write '" + line.keyword() + " {'"
        : unknownBlock(line.keyword());
  }

  private static String unknownBlock(String block) {
    return "no block '" + block + "' is known" + SpellingHint.hint(block, SettingKey.blocks());
  }

  private void addValue(SettingKey key, SettingLine line) {
    if (line.values().size() != 1) {
      addFault(
          line,
          "takes one value, "
              + line.values().size()
              + " stand here; put a value with blanks in quotes");
      return;
    }
    if (values.containsKey(key)) {
      addFault(line, "is set already, at " + values.get(key).from());
      return;
    }
    String text = line.values().get(0);
    try {
      key.parse(text);
    } catch (IllegalArgumentException e) {
      addFault(line, e.getMessage());
      return;
    }
    values.put(key, new OperatorSettings.Value(key, text, line.position()));
  }

  private void addFault(SettingLine line, String text) {
    faults.add(line.fault(line.path(), text));
  }

  private void checkStore(OperatorSettings settings) {
    checkDirectory(settings);
    checkIntervalIsUsed(settings);
    checkTrust(settings);
    checkPatience(settings);
  }

  private void checkDirectory(OperatorSettings settings) {
    if (!settings.isSetInFile(SettingKey.STORE_DIRECTORY)) {
      SettingLine first = lines.get(0);
      faults.add(
          first.fault(
              SettingKey.STORE_DIRECTORY.path(),
              "is missing; name a directory on a disk that lasts"));
    }
  }

  private static boolean syncsAtIntervals(OperatorSettings settings) {
    return settings.text(SettingKey.STORE_SYNC).equals(INTERVAL_SYNC);
  }

  private void checkIntervalIsUsed(OperatorSettings settings) {
    if (settings.isSetInFile(SettingKey.STORE_INTERVAL) && !syncsAtIntervals(settings)) {
      addFault(
          SettingKey.STORE_INTERVAL,
          "says nothing with 'sync "
              + settings.text(SettingKey.STORE_SYNC)
              + "'; write 'sync interval' or leave it out");
    }
  }

  private void checkTrust(OperatorSettings settings) {
    SettingKey trust = SettingKey.STORE_TRUST;
    SettingKey alive = SettingKey.STORE_ALIVE;
    if (settings.number(alive) * 2 > settings.number(trust)) {
      addFault(
          settings.isSetInFile(trust) ? trust : alive,
          "trust ("
              + settings.text(trust)
              + ") must be at least twice alive ("
              + settings.text(alive)
              + "): a running store would not be believed");
    }
  }

  private void checkPatience(OperatorSettings settings) {
    SettingKey patience = SettingKey.STORE_PATIENCE;
    SettingKey interval = SettingKey.STORE_INTERVAL;
    if (syncsAtIntervals(settings) && settings.number(interval) * 2 > settings.number(patience)) {
      addFault(
          settings.isSetInFile(patience) ? patience : interval,
          "patience ("
              + settings.text(patience)
              + ") must be at least twice interval ("
              + settings.text(interval)
              + "): orders would always be given up");
    }
  }

  /** Adds a fault at the line that sets the key, or none if no line does. */
  private void addFault(SettingKey key, String text) {
    lines.stream()
        .filter(line -> line.path().equals(key.path()))
        .findFirst()
        .ifPresent(line -> faults.add(line.fault(key.path(), text)));
  }
}
