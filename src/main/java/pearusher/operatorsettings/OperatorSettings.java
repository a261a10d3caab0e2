package pearusher.operatorsettings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The operators' settings as they are in force: what the file says, checked as a whole, and the
 * default for all else. A subsystem whose block is missing is off.
 */
public final class OperatorSettings {

  /** A value and where it comes from: a place in a file, or {@code default}. */
  public record Value(SettingKey key, String text, String from) {}

  private final Map<SettingKey, Value> given = new EnumMap<>(SettingKey.class);
  private final List<SettingsFault> faults = new ArrayList<>();

  private OperatorSettings() {}

  /** With no file at all: everything off. */
  public static OperatorSettings none() {
    return new OperatorSettings();
  }

  public static OperatorSettings read(Path file) throws InvalidSettingsException {
    return check(SettingsFileParser.read(file));
  }

  /** Settings from a text, for programs that have no file. */
  public static OperatorSettings parse(String name, String text) throws InvalidSettingsException {
    return check(SettingsFileParser.parse(name, text));
  }

  private static OperatorSettings check(List<SettingsFileParser.Line> lines)
      throws InvalidSettingsException {
    OperatorSettings out = new OperatorSettings();
    lines.forEach(out::take);
    if (out.faults.isEmpty()) {
      out.together(lines);
    }
    if (!out.faults.isEmpty()) {
      throw new InvalidSettingsException(out.faults);
    }
    return out;
  }

  private void take(SettingsFileParser.Line line) {
    String path = line.block().isEmpty() ? line.word() : line.block() + "." + line.word();
    if (!SettingKey.blocks().contains(line.block())) {
      String top = line.block().isEmpty() ? line.word() : line.block();
      faults.add(
          line.fault(
              path,
              line.block().isEmpty() && SettingKey.blocks().contains(top)
                  ? "is a block; write '" + top + " {'"
                  : "no block '"
                      + top
                      + "' is known"
                      + SettingKey.nearest(top, SettingKey.blocks())));
      return;
    }
    SettingKey key = SettingKey.of(line.block(), line.word());
    if (key == null) {
      faults.add(
          line.fault(
              path,
              "no such key" + SettingKey.nearest(line.word(), SettingKey.words(line.block()))));
      return;
    }
    if (line.values().size() != 1) {
      faults.add(
          line.fault(
              path,
              "takes one value, "
                  + line.values().size()
                  + " stand here; put a value with blanks in quotes"));
      return;
    }
    Value old = given.get(key);
    if (old != null) {
      faults.add(line.fault(path, "is set already, at " + old.from()));
      return;
    }
    String text = line.values().get(0);
    try {
      key.number(text);
    } catch (IllegalArgumentException e) {
      faults.add(line.fault(path, e.getMessage()));
      return;
    }
    given.put(key, new Value(key, text, line.file() + ":" + line.line() + ":" + line.column()));
  }

  /** What each value alone can't show. */
  private void together(List<SettingsFileParser.Line> lines) {
    if (lines.isEmpty() || !isEnabled("store")) {
      return;
    }
    if (!given.containsKey(SettingKey.STORE_DIRECTORY)) {
      faults.add(
          lines
              .get(0)
              .fault("store.directory", "is missing; name a directory on a disk that lasts"));
    }
    if (given.containsKey(SettingKey.STORE_INTERVAL)
        && !word(SettingKey.STORE_SYNC).equals("interval")) {
      fault(
          lines,
          SettingKey.STORE_INTERVAL,
          "says nothing with 'sync "
              + word(SettingKey.STORE_SYNC)
              + "'; write 'sync interval' or leave it out");
    }
    if (number(SettingKey.STORE_ALIVE) * 2 > number(SettingKey.STORE_TRUST)) {
      fault(
          lines,
          given.containsKey(SettingKey.STORE_TRUST)
              ? SettingKey.STORE_TRUST
              : SettingKey.STORE_ALIVE,
          "trust ("
              + text(SettingKey.STORE_TRUST)
              + ") must be at least twice alive ("
              + text(SettingKey.STORE_ALIVE)
              + "): a running store would not be believed");
    }
    if (word(SettingKey.STORE_SYNC).equals("interval")
        && number(SettingKey.STORE_INTERVAL) * 2 > number(SettingKey.STORE_PATIENCE)) {
      fault(
          lines,
          given.containsKey(SettingKey.STORE_PATIENCE)
              ? SettingKey.STORE_PATIENCE
              : SettingKey.STORE_INTERVAL,
          "patience ("
              + text(SettingKey.STORE_PATIENCE)
              + ") must be at least twice interval ("
              + text(SettingKey.STORE_INTERVAL)
              + "): orders would always be given up");
    }
  }

  private void fault(List<SettingsFileParser.Line> lines, SettingKey key, String text) {
    lines.stream()
        .filter(l -> SettingKey.of(l.block(), l.word()) == key)
        .findFirst()
        .ifPresent(l -> faults.add(l.fault(key.path(), text)));
  }

  /** Whether a block is there: what it is about is switched on. */
  public boolean isEnabled(String block) {
    return given.keySet().stream().anyMatch(k -> k.block().equals(block));
  }

  private String text(SettingKey key) {
    return given.containsKey(key) ? given.get(key).text() : key.defaultText();
  }

  /** A word or path as it is in force. */
  public String word(SettingKey key) {
    return text(key);
  }

  /** Microseconds, bytes or a plain number, as it is in force. */
  public double number(SettingKey key) {
    return key.number(text(key));
  }

  /** Every key of the blocks that are on, or of all, with its value and where that comes from. */
  public List<Value> inForce() {
    List<Value> out = new ArrayList<>();
    for (SettingKey key : SettingKey.values()) {
      Value value = given.get(key);
      out.add(
          value != null
              ? value
              : new Value(
                  key,
                  isEnabled(key.block()) && key.defaultText() != null ? key.defaultText() : "off",
                  "default"));
    }
    return out;
  }
}
