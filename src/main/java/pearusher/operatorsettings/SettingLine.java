package pearusher.operatorsettings;

import java.util.List;

/**
 * Setting with its position in a file.
 *
 * @param file the path of the file, as it was specified
 * @param line the line number, from 1
 * @param column the column of the keyword, from 1
 * @param block the names of the enclosing blocks, joined by dots; empty outside of blocks
 */
record SettingLine(
    String file, int line, int column, String block, String keyword, List<String> values) {
  /** Returns the complete key, such as {@code store.interval}. */
  String path() {
    return block.isEmpty() ? keyword : block + "." + keyword;
  }

  /** Returns the position as {@code file:line:column}. */
  String position() {
    return file + ":" + line + ":" + column;
  }

  /** Returns a fault at this position. */
  SettingsFault fault(String key, String text) {
    return new SettingsFault(file, line, column, key, text);
  }
}
