package pearusher.operatorsettings;

/**
 * Error in a settings file, with its position.
 *
 * @param file the path of the file, as it was specified
 * @param line the line number, from 1; 0 for the complete file
 * @param column the column, from 1; 0 for the complete file
 * @param key the complete key, such as {@code store.interval}; empty if no key could be parsed
 * @param text the description of the error and of what is accepted
 */
public record SettingsFault(String file, int line, int column, String key, String text) {
  @Override
  public String toString() {
    return file
        + (line > 0 ? ":" + line + ":" + column : "")
        + ": "
        + (key.isEmpty() ? "" : key + ": ")
        + text;
  }
}
