package pearusher.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** What a scale run is to do: a value for each key, checked. It never changes. */
final class RunDescription {
  /** The settings' number of proxies is never less. */
  static final int LEAST_PROXY_COUNT = 64;

  /** A description that can't be used; the text names the key. */
  static final class Fault extends Exception {
    private static final long serialVersionUID = 1L;

    Fault(String text) {
      super(text);
    }
  }

  private final Map<RunKey, Double> values;

  private RunDescription(Map<RunKey, Double> values) {
    this.values = values;
  }

  static RunDescription standard() {
    Map<RunKey, Double> out = new EnumMap<>(RunKey.class);
    for (RunKey key : RunKey.values()) {
      out.put(key, Double.valueOf(key.standard()));
    }
    return new RunDescription(out);
  }

  /** Lines of {@code key value}; what follows a # is a remark. */
  RunDescription withFile(Path file) throws Fault {
    List<String> lines;
    try {
      lines = Files.readAllLines(file);
    } catch (IOException e) {
      throw new Fault("the run description " + file + " can't be read");
    }
    RunDescription out = this;
    for (int number = 1; number <= lines.size(); number++) {
      String line = lines.get(number - 1).replaceFirst("#.*", "").strip();
      if (!line.isEmpty()) {
        String[] words = line.split("\\s+");
        String at = file + " line " + number + ": ";
        if (words.length != 2) {
          throw new Fault(at + "the key " + words[0] + " wants one value");
        }
        out = out.with(at, words[0], words[1]);
      }
    }
    return out;
  }

  RunDescription with(String key, String value) throws Fault {
    return with("", key, value);
  }

  private RunDescription with(String at, String name, String text) throws Fault {
    RunKey key =
        RunKey.of(name).orElseThrow(() -> new Fault(at + "the key " + name + " is not known"));
    double value;
    try {
      value = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new Fault(at + "the key " + name + " is not a number: '" + text + "'");
    }
    if (!(value >= key.least() && value <= key.most())) {
      throw new Fault(at + "the key " + name + " is out of range: " + text);
    }
    Map<RunKey, Double> next = new EnumMap<>(values);
    next.put(key, value);
    return new RunDescription(next);
  }

  /** Keys and values by turns in one text. */
  RunDescription withWords(String text) throws Fault {
    String[] words = text.split(" ");
    RunDescription out = this;
    for (int k = 0; k + 1 < words.length; k += 2) {
      out = out.with(words[k], words[k + 1]);
    }
    return out;
  }

  RunDescription with(RunKey key, double value) throws Fault {
    return with(key.key(), Double.toString(value));
  }

  double get(RunKey key) {
    return values.get(key);
  }

  int whole(RunKey key) {
    return (int) Math.round(get(key));
  }

  int servers() {
    return whole(RunKey.SERVERS);
  }

  int zones() {
    return whole(RunKey.ZONES);
  }

  int proxyZones() {
    return Math.min(whole(RunKey.PROXY_ZONES), zones());
  }

  int classes() {
    return whole(RunKey.CLASSES);
  }

  int proxies() {
    return whole(RunKey.PROXIES);
  }

  int realAssigners() {
    return whole(RunKey.ASSIGNERS);
  }

  int simulatedAssigners() {
    return whole(RunKey.SIMULATED_ASSIGNERS);
  }

  /** Those that take proxies, real and simulated. */
  int assigners() {
    return realAssigners() + simulatedAssigners();
  }

  double reportsPerS() {
    return get(RunKey.REPORTS) < 0 ? servers() : get(RunKey.REPORTS);
  }

  double settingsReportsPerS() {
    return Math.max(
        1, get(RunKey.SETTINGS_REPORTS) < 0 ? reportsPerS() : get(RunKey.SETTINGS_REPORTS));
  }

  double channelRate() {
    return get(RunKey.CHANNEL_RATE);
  }

  double mostWaiting() {
    return get(RunKey.MOST_WAITING);
  }

  int periodMs() {
    return whole(RunKey.PERIOD_MS);
  }

  int sockets() {
    return whole(RunKey.SOCKETS);
  }

  boolean known() {
    return get(RunKey.KNOWN) > 0;
  }

  long seed() {
    return Math.round(get(RunKey.SEED));
  }
}
