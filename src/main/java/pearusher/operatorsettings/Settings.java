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
public final class Settings {

  /** A value and where it comes from: a place in a file, or {@code default}. */
  public record Value(Key key, String text, String from) {}

  private final Map<Key, Value> given = new EnumMap<>(Key.class);
  private final List<Fault> faults = new ArrayList<>();

  private Settings() {}

  /** With no file at all: everything off. */
  public static Settings none() {
    return new Settings();
  }

  public static Settings read(Path file) throws FaultyException {
    return check(ConfFile.read(file));
  }

  /** Settings from a text, for programs that have no file. */
  public static Settings parse(String name, String text) throws FaultyException {
    return check(ConfFile.parse(name, text));
  }

  private static Settings check(List<ConfFile.Line> lines) throws FaultyException {
    Settings out = new Settings();
    lines.forEach(out::take);
    if (out.faults.isEmpty()) {
      out.together(lines);
    }
    if (!out.faults.isEmpty()) {
      throw new FaultyException(out.faults);
    }
    return out;
  }

  private void take(ConfFile.Line line) {
    String path = line.block().isEmpty() ? line.word() : line.block() + "." + line.word();
    if (!Key.blocks().contains(line.block())) {
      String top = line.block().isEmpty() ? line.word() : line.block();
      faults.add(
          line.fault(
              path,
              line.block().isEmpty() && Key.blocks().contains(top)
                  ? "is a block; write '" + top + " {'"
                  : "no block '" + top + "' is known" + Key.nearest(top, Key.blocks())));
      return;
    }
    Key key = Key.of(line.block(), line.word());
    if (key == null) {
      faults.add(
          line.fault(path, "no such key" + Key.nearest(line.word(), Key.words(line.block()))));
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
  private void together(List<ConfFile.Line> lines) {
    if (lines.isEmpty() || !on("store")) {
      return;
    }
    if (!given.containsKey(Key.STORE_DIRECTORY)) {
      faults.add(
          lines
              .get(0)
              .fault("store.directory", "is missing; name a directory on a disk that lasts"));
    }
    if (given.containsKey(Key.STORE_INTERVAL) && !word(Key.STORE_SYNC).equals("interval")) {
      fault(
          lines,
          Key.STORE_INTERVAL,
          "says nothing with 'sync "
              + word(Key.STORE_SYNC)
              + "'; write 'sync interval' or leave it out");
    }
    if (number(Key.STORE_ALIVE) * 2 > number(Key.STORE_TRUST)) {
      fault(
          lines,
          given.containsKey(Key.STORE_TRUST) ? Key.STORE_TRUST : Key.STORE_ALIVE,
          "trust ("
              + text(Key.STORE_TRUST)
              + ") must be at least twice alive ("
              + text(Key.STORE_ALIVE)
              + "): a running store would not be believed");
    }
    if (word(Key.STORE_SYNC).equals("interval")
        && number(Key.STORE_INTERVAL) * 2 > number(Key.STORE_PATIENCE)) {
      fault(
          lines,
          given.containsKey(Key.STORE_PATIENCE) ? Key.STORE_PATIENCE : Key.STORE_INTERVAL,
          "patience ("
              + text(Key.STORE_PATIENCE)
              + ") must be at least twice interval ("
              + text(Key.STORE_INTERVAL)
              + "): orders would always be given up");
    }
  }

  private void fault(List<ConfFile.Line> lines, Key key, String text) {
    lines.stream()
        .filter(l -> Key.of(l.block(), l.word()) == key)
        .findFirst()
        .ifPresent(l -> faults.add(l.fault(key.path(), text)));
  }

  /** Whether a block is there: what it is about is switched on. */
  public boolean on(String block) {
    return given.keySet().stream().anyMatch(k -> k.block().equals(block));
  }

  private String text(Key key) {
    return given.containsKey(key) ? given.get(key).text() : key.usual();
  }

  /** A word or path as it is in force. */
  public String word(Key key) {
    return text(key);
  }

  /** Microseconds, bytes or a plain number, as it is in force. */
  public double number(Key key) {
    return key.number(text(key));
  }

  /** Every key of the blocks that are on, or of all, with its value and where that comes from. */
  public List<Value> inForce() {
    List<Value> out = new ArrayList<>();
    for (Key key : Key.values()) {
      Value value = given.get(key);
      out.add(
          value != null
              ? value
              : new Value(
                  key, on(key.block()) && key.usual() != null ? key.usual() : "off", "default"));
    }
    return out;
  }
}
