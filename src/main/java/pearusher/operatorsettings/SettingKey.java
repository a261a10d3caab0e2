package pearusher.operatorsettings;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Every key that a settings file may hold, with its form, limits and default: the one list of them.
 */
public enum SettingKey {
  STORE_DIRECTORY(
      "store",
      "directory",
      Form.PATH,
      null,
      0,
      0,
      "where the store is kept, a directory of its own on a disk that lasts"),
  STORE_SYNC(
      "store",
      "sync",
      Form.of("each", "interval", "none"),
      "each",
      0,
      0,
      "when an order counts as durable: synced as soon as the disk is free, gathered first, or"
          + " never"),
  STORE_INTERVAL(
      "store",
      "interval",
      Form.DURATION,
      "20ms",
      1_000,
      1_000_000,
      "with 'sync interval': how long orders gather before they are synced together"),
  STORE_PATIENCE(
      "store",
      "patience",
      Form.DURATION,
      "1s",
      10_000,
      60_000_000,
      "an order that waited so long for the disk goes out without it, and the store is given up"),
  STORE_ALIVE(
      "store",
      "alive",
      Form.DURATION,
      "5s",
      100_000,
      3_600_000_000L,
      "how often a running assigner notes that it is there"),
  STORE_TRUST(
      "store",
      "trust",
      Form.DURATION,
      "10min",
      1_000_000,
      7L * 86_400_000_000L,
      "a store silent for longer is not believed in what proxies hold: they get whole tables"),
  STORE_SEGMENT(
      "store",
      "segment",
      Form.SIZE,
      "8MiB",
      64 << 10,
      1 << 30,
      "length at which a log file ends and the next begins"),
  STORE_COMPACT_AT(
      "store",
      "compact-at",
      Form.SIZE,
      "1MiB",
      16 << 10,
      1L << 40,
      "least length of all logs at which they are compacted"),
  STORE_COMPACT_TIMES(
      "store",
      "compact-times",
      Form.RATIO,
      "2",
      1,
      100,
      "and least multiple of the last checkpoint's length"),
  STORE_DAMAGE(
      "store",
      "damage",
      Form.of("refuse", "stop"),
      "refuse",
      0,
      0,
      "what a start does about damaged files: refuse, or go on from the last consistent state"),
  INTAKE_BUDGET(
      "intake",
      "budget",
      Form.COUNT,
      "20000",
      100,
      1e7,
      "reports a second that the module hears in a flood"),
  INTAKE_CALM(
      "intake",
      "calm",
      Form.COUNT,
      "5000",
      100,
      1e6,
      "reports that may wait before it is a flood: up to here each goes as it came"),
  INTAKE_PLACE(
      "intake",
      "place",
      Form.COUNT,
      "1000",
      10,
      1e6,
      "most reports of one origin that wait in a flood, those about the same merged into one"),
  INTAKE_OLDEST(
      "intake",
      "oldest",
      Form.DURATION,
      "2min",
      1_000_000,
      86_400_000_000L,
      "what is older when its turn comes is let go; what is younger weighs the less the older it"
          + " is"),
  INTAKE_SAMPLE(
      "intake",
      "sample",
      Form.of("on", "off"),
      "on",
      0,
      0,
      "whether what a second can't hear is thinned to a sample that stands for it, or waits"),
  INTAKE_OVER(
      "intake",
      "over",
      Form.DURATION,
      "2s",
      100_000,
      600_000_000,
      "how long nothing must have waited until a flood is over");

  /** How a value is written. */
  record Form(String name, String example, List<String> words) {
    static final Form PATH = new Form("a path", "/var/lib/pearusher", List.of());
    static final Form DURATION = new Form("a duration", "20ms, 5s or 10min", List.of());
    static final Form SIZE = new Form("a size", "64KiB or 8MiB", List.of());
    static final Form COUNT = new Form("a whole number", "5000", List.of());
    static final Form RATIO = new Form("a number", "1.5", List.of());

    static Form of(String... words) {
      return new Form("one of " + String.join(", ", words), words[0], List.of(words));
    }
  }

  private final String block;
  private final String word;

  // All forms are made with List.of, which the check can't see.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Form form;

  private final String usual;
  private final double least;
  private final double most;
  private final String help;

  SettingKey(
      String block, String word, Form form, String usual, double least, double most, String help) {
    this.block = block;
    this.word = word;
    this.form = form;
    this.usual = usual;
    this.least = least;
    this.most = most;
    this.help = help;
  }

  /** The key in full, as in {@code store.interval}. */
  public String path() {
    return block + "." + word;
  }

  public String block() {
    return block;
  }

  String word() {
    return word;
  }

  Form form() {
    return form;
  }

  /** The default as it would be written; null where there is none. */
  public String defaultText() {
    return usual;
  }

  public String help() {
    return help;
  }

  static List<String> blocks() {
    return Arrays.stream(values()).map(SettingKey::block).distinct().toList();
  }

  static List<String> words(String block) {
    return Arrays.stream(values())
        .filter(k -> k.block.equals(block))
        .map(SettingKey::word)
        .toList();
  }

  static SettingKey of(String block, String word) {
    return Arrays.stream(values())
        .filter(k -> k.block.equals(block) && k.word.equals(word))
        .findFirst()
        .orElse(null);
  }

  /**
   * Reads a value: microseconds, bytes or a plain number; 0 for words and paths, which only are
   * checked.
   *
   * @throws IllegalArgumentException saying what would be right
   */
  double number(String text) {
    if (!form.words().isEmpty()) {
      if (!form.words().contains(text)) {
        throw new IllegalArgumentException(
            "'" + text + "' is not " + form.name() + nearest(text, form.words()));
      }
      return 0;
    }
    if (form.equals(Form.PATH)) {
      if (text.isBlank() || text.indexOf('\0') >= 0) {
        throw new IllegalArgumentException("an empty path; write one like " + form.example());
      }
      return 0;
    }
    double out =
        Units.read(
            text,
            form.equals(Form.DURATION)
                ? Units.TIMES
                : form.equals(Form.SIZE) ? Units.SIZES : Units.NONE);
    if (Double.isNaN(out) || (form.equals(Form.COUNT) && out != Math.rint(out))) {
      throw new IllegalArgumentException(
          "'" + text + "' is not " + form.name() + "; write one like " + form.example());
    }
    if (out < least || out > most) {
      throw new IllegalArgumentException(
          "'" + text + "' is out of range; it may be " + shown(least) + " to " + shown(most));
    }
    return out;
  }

  private String shown(double value) {
    return Units.write(
        value,
        form.equals(Form.DURATION)
            ? Units.TIMES
            : form.equals(Form.SIZE) ? Units.SIZES : Units.NONE);
  }

  /** A hint at the known word that is closest, if one is close. */
  static String nearest(String word, List<String> known) {
    String best = null;
    int least = 1 + Math.max(1, word.length() / 3);
    for (String one : known) {
      int far = distance(word.toLowerCase(Locale.ROOT), one, least);
      if (far < least) {
        least = far;
        best = one;
      }
    }
    return best == null ? "" : "; did you mean '" + best + "'?";
  }

  /** Levenshtein's distance; words beyond the limit in length alone are not compared. */
  private static int distance(String a, String b, int limit) {
    if (Math.abs(a.length() - b.length()) >= limit) {
      return limit;
    }
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int left = row[0]++;
      for (int j = 1; j <= b.length(); j++) {
        int above = row[j];
        int swap = left + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        row[j] = Math.min(swap, 1 + Math.min(above, row[j - 1]));
        left = above;
      }
    }
    return row[b.length()];
  }
}
