package pearusher.operatorsettings;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Key of a settings file, with the form, bounds and default of its value, and its help text. */
public enum SettingKey {
  STORE_DIRECTORY(
      "store",
      "directory",
      ValueForm.path(),
      "where the store is kept, a directory of its own on a disk that lasts"),
  STORE_SYNC(
      "store",
      "sync",
      ValueForm.choice("each", "interval", "none"),
      "each",
      "when an order counts as durable: synced as soon as the disk is free, gathered first, or"
          + " never"),
  STORE_INTERVAL(
      "store",
      "interval",
      ValueForm.duration(1_000, 1_000_000),
      "20ms",
      "with 'sync interval': how long orders gather before they are synced together"),
  STORE_PATIENCE(
      "store",
      "patience",
      ValueForm.duration(10_000, 60_000_000),
      "1s",
      "an order that waited so long for the disk goes out without it, and the store is given up"),
  STORE_ALIVE(
      "store",
      "alive",
      ValueForm.duration(100_000, 3_600_000_000L),
      "5s",
      "how often a running assigner notes that it is there"),
  STORE_TRUST(
      "store",
      "trust",
      ValueForm.duration(1_000_000, 7L * 86_400_000_000L),
      "10min",
      "a store silent for longer is not believed in what proxies hold: they get whole tables"),
  STORE_SEGMENT(
      "store",
      "segment",
      ValueForm.size(64 << 10, 1 << 30),
      "8MiB",
      "length at which a log file ends and the next begins"),
  STORE_COMPACT_AT(
      "store",
      "compact-at",
      ValueForm.size(16 << 10, 1L << 40),
      "1MiB",
      "least length of all logs at which they are compacted"),
  STORE_COMPACT_TIMES(
      "store",
      "compact-times",
      ValueForm.ratio(1, 100),
      "2",
      "and least multiple of the last checkpoint's length"),
  STORE_DAMAGE(
      "store",
      "damage",
      ValueForm.choice("refuse", "stop"),
      "refuse",
      "what a start does about damaged files: refuse, or go on from the last consistent state"),
  INTAKE_BUDGET(
      "intake",
      "budget",
      ValueForm.count(100, 1e7),
      "20000",
      "reports a second that the module hears in a flood"),
  INTAKE_CALM(
      "intake",
      "calm",
      ValueForm.count(100, 1e6),
      "5000",
      "reports that may wait before it is a flood: up to here each goes as it came"),
  INTAKE_PLACE(
      "intake",
      "place",
      ValueForm.count(10, 1e6),
      "1000",
      "most reports of one origin that wait in a flood, those about the same merged into one"),
  INTAKE_OLDEST(
      "intake",
      "oldest",
      ValueForm.duration(1_000_000, 86_400_000_000L),
      "2min",
      "what is older when its turn comes is let go; what is younger weighs the less the older it"
          + " is"),
  INTAKE_SAMPLE(
      "intake",
      "sample",
      ValueForm.choice("on", "off"),
      "on",
      "whether what a second can't hear is thinned to a sample that stands for it, or waits"),
  INTAKE_OVER(
      "intake",
      "over",
      ValueForm.duration(100_000, 600_000_000),
      "2s",
      "how long nothing must have waited until a flood is over");

  private final String block;
  private final String keyword;

  // All implementations of ValueForm are immutable records, which Error Prone can't infer.
  @SuppressWarnings("ImmutableEnumChecker")
  private final ValueForm form;

  private final String defaultText;
  private final String help;

  /** Creates a key without a default. */
  SettingKey(String block, String keyword, ValueForm form, String help) {
    this(block, keyword, form, null, help);
  }

  SettingKey(String block, String keyword, ValueForm form, String defaultText, String help) {
    this.block = block;
    this.keyword = keyword;
    this.form = form;
    this.defaultText = defaultText;
    this.help = help;
  }

  /** Returns the complete key, such as {@code store.interval}. */
  public String path() {
    return block + "." + keyword;
  }

  /** Returns the name of the block that contains the key. */
  public String block() {
    return block;
  }

  /** Returns the name of the key within its block. */
  String keyword() {
    return keyword;
  }

  /** Returns the default as it is written in a file; empty if the key is required. */
  public Optional<String> defaultText() {
    return Optional.ofNullable(defaultText);
  }

  /** Returns the help text for operators. */
  public String help() {
    return help;
  }

  /**
   * Parses a value of this key.
   *
   * @return microseconds, bytes or a number without a unit; 0 for words and paths, which are only
   *     validated
   * @throws IllegalArgumentException if the value is invalid; the message says what is accepted
   */
  double parse(String text) {
    return form.parse(text);
  }

  static List<String> blocks() {
    return Arrays.stream(values()).map(SettingKey::block).distinct().toList();
  }

  static List<String> keywords(String block) {
    return Arrays.stream(values())
        .filter(key -> key.block.equals(block))
        .map(SettingKey::keyword)
        .toList();
  }

  static Optional<SettingKey> of(String block, String keyword) {
    return Arrays.stream(values())
        .filter(key -> key.block.equals(block) && key.keyword.equals(keyword))
        .findFirst();
  }
}
