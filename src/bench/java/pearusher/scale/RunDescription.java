package pearusher.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** The validated options of a scale run. Immutable. */
final class RunDescription {
  /** The smallest proxy count that the settings of an assigner allow. */
  static final int MIN_PROXY_COUNT = 64;

  private final Map<RunOption, Double> values;

  private RunDescription(Map<RunOption, Double> values) {
    this.values = values;
  }

  static RunDescription defaults() {
    Map<RunOption, Double> values = new EnumMap<>(RunOption.class);
    for (RunOption key : RunOption.values()) {
      values.put(key, Double.valueOf(key.defaultValue()));
    }
    return new RunDescription(values);
  }

  /**
   * Returns this description with the options of a file, which has one {@code key value} per line.
   * A # starts a comment.
   */
  RunDescription withFile(Path file) throws RunDescriptionException {
    List<String> lines;
    try {
      lines = Files.readAllLines(file);
    } catch (IOException e) {
      throw new RunDescriptionException("cannot read the run description " + file + ": " + e);
    }
    RunDescription description = this;
    for (int number = 1; number <= lines.size(); number++) {
      String line = lines.get(number - 1).replaceFirst("#.*", "").strip();
      if (!line.isEmpty()) {
        String[] fields = line.split("\\s+");
        String position = file + " line " + number + ": ";
        if (fields.length != 2) {
          throw new RunDescriptionException(
              position + "the key " + fields[0] + " expects one value");
        }
        description = description.with(position, fields[0], fields[1]);
      }
    }
    return description;
  }

  RunDescription with(String key, String value) throws RunDescriptionException {
    return with("", key, value);
  }

  private RunDescription with(String position, String name, String text)
      throws RunDescriptionException {
    RunOption key =
        RunOption.find(name)
            .orElseThrow(
                () -> new RunDescriptionException(position + "the key " + name + " is not known"));
    double value;
    try {
      value = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new RunDescriptionException(
          position + "the key " + name + " is not a number: '" + text + "'");
    }
    if (!(value >= key.min() && value <= key.max())) {
      throw new RunDescriptionException(position + "the key " + name + " is out of range: " + text);
    }
    Map<RunOption, Double> next = new EnumMap<>(values);
    next.put(key, value);
    return new RunDescription(next);
  }

  /**
   * Returns this description with options that are given as alternating keys and values, separated
   * by spaces.
   */
  RunDescription withOptions(String text) throws RunDescriptionException {
    String[] fields = text.split(" ");
    RunDescription description = this;
    for (int k = 0; k + 1 < fields.length; k += 2) {
      description = description.with(fields[k], fields[k + 1]);
    }
    return description;
  }

  RunDescription with(RunOption key, double value) throws RunDescriptionException {
    return with(key.key(), Double.toString(value));
  }

  double get(RunOption key) {
    return values.get(key);
  }

  int getInt(RunOption key) {
    return (int) Math.round(get(key));
  }

  int servers() {
    return getInt(RunOption.SERVERS);
  }

  int zones() {
    return getInt(RunOption.ZONES);
  }

  int proxyZones() {
    return Math.min(getInt(RunOption.PROXY_ZONES), zones());
  }

  int classes() {
    return getInt(RunOption.CLASSES);
  }

  int proxies() {
    return getInt(RunOption.PROXIES);
  }

  int realAssigners() {
    return getInt(RunOption.ASSIGNERS);
  }

  int simulatedAssigners() {
    return getInt(RunOption.SIMULATED_ASSIGNERS);
  }

  /** Returns the number of real and simulated assigners that proxies join. */
  int assigners() {
    return realAssigners() + simulatedAssigners();
  }

  double reportsPerSecond() {
    return get(RunOption.REPORTS) < 0 ? servers() : get(RunOption.REPORTS);
  }

  double settingsReportsPerSecond() {
    return Math.max(
        1,
        get(RunOption.SETTINGS_REPORTS) < 0 ? reportsPerSecond() : get(RunOption.SETTINGS_REPORTS));
  }

  double channelRate() {
    return get(RunOption.CHANNEL_RATE);
  }

  double maxBacklog() {
    return get(RunOption.MOST_WAITING);
  }

  int periodMs() {
    return getInt(RunOption.PERIOD_MS);
  }

  int sockets() {
    return getInt(RunOption.SOCKETS);
  }

  boolean listsServersAsKnown() {
    return get(RunOption.KNOWN) > 0;
  }

  long seed() {
    return Math.round(get(RunOption.SEED));
  }
}
