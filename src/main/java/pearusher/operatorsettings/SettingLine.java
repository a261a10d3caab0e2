package pearusher.operatorsettings;

import java.util.List;

/**
 * A setting with its position in a file.
 *
 * @param line from 1
 * @param column from 1
 * @param block the blocks around the setting, joined by dots; empty outside of blocks
 */
record SettingLine(
    String file, int line, int column, String block, String keyword, List<String> values) {
  /** The complete key, as in {@code store.interval}. */
  String path() {
    return block.isEmpty() ? keyword : block + "." + keyword;
  }

  /** The position as it is shown to operators. */
  String position() {
    return file + ":" + line + ":" + column;
  }

  /** A fault at this position. */
  SettingsFault fault(String key, String text) {
    return new SettingsFault(file, line, column, key, text);
  }
}
