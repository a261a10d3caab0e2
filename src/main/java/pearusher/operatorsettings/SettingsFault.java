package pearusher.operatorsettings;

/**
 * What is wrong in a settings file, and where.
 *
 * @param file the file's path as it was named
 * @param line from 1, 0 for the complete file
 * @param column from 1
 * @param key the complete key, as in {@code store.interval}; empty where none could be read
 * @param text what is wrong and what would be right
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
