package pearusher.operatorsettings;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Parser of settings files, which follows includes. It produces lines of block, keyword and values,
 * and is independent of the keys. Any input gives either lines or faults with a position.
 */
final class SettingsFileParser {
  /** Limits that no settings file reaches, but another file that was specified by mistake may. */
  private static final int MAX_FILE_BYTES = 1 << 20;

  private static final int MAX_FILES = 64;
  private static final int MAX_FAULTS = 20;

  private static final String INCLUDE = "include";

  private final List<SettingLine> lines = new ArrayList<>();
  private final List<SettingsFault> faults = new ArrayList<>();

  /** Chain of the files being read, innermost first. */
  private final Deque<Path> openFiles = new ArrayDeque<>();

  private int fileCount;

  private SettingsFileParser() {}

  /**
   * Reads a file and the files that it includes.
   *
   * @throws InvalidSettingsException if there are errors of syntax or includes; has the first of
   *     them
   */
  static List<SettingLine> read(Path path) throws InvalidSettingsException {
    SettingsFileParser parser = new SettingsFileParser();
    parser.readFile(path, new SettingsFault(path.toString(), 0, 0, "", ""));
    return parser.result();
  }

  /**
   * Parses the text of one file, which may include others.
   *
   * @param name the file name in positions, relative to which included files are resolved
   * @throws InvalidSettingsException if there are errors of syntax or includes; has the first of
   *     them
   */
  static List<SettingLine> parse(String name, String text) throws InvalidSettingsException {
    SettingsFileParser parser = new SettingsFileParser();
    parser.openFiles.push(Path.of(name));
    parser.parseText(name, text);
    return parser.result();
  }

  private List<SettingLine> result() throws InvalidSettingsException {
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults.subList(0, Math.min(MAX_FAULTS, faults.size())));
    }
    return lines;
  }

  /** Reads a file; faults of the complete file are recorded at {@code includedAt}. */
  private void readFile(Path path, SettingsFault includedAt) {
    Path normalized = path.toAbsolutePath().normalize();
    if (openFiles.contains(normalized)) {
      addFault(includedAt, "includes itself: " + path);
      return;
    }
    if (++fileCount > MAX_FILES) {
      addFault(includedAt, "more than " + MAX_FILES + " files are included");
      return;
    }
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        addFault(includedAt, path + " is longer than 1 MiB, the limit of a settings file");
        return;
      }
      String text = decode(Files.readAllBytes(path));
      openFiles.push(normalized);
      parseText(path.toString(), text);
      openFiles.pop();
    } catch (CharacterCodingException e) {
      addFault(includedAt, path + " is not UTF-8 text");
    } catch (IOException e) {
      addFault(includedAt, path + " can't be read; name a file that is there and may be read");
    }
  }

  private static String decode(byte[] bytes) throws CharacterCodingException {
    return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
  }

  private void addFault(SettingsFault position, String text) {
    faults.add(
        new SettingsFault(
            position.file(), position.line(), position.column(), position.key(), text));
  }

  private void parseText(String name, String text) {
    SettingsSyntax.parse(name, text, faults).ifPresent(file -> addLines(name, "", file.line()));
  }

  private void addLines(String file, String block, List<ConfParser.LineContext> parsedLines) {
    for (ConfParser.LineContext line : parsedLines) {
      if (line.statement() != null) {
        addStatement(file, block, line.statement());
      }
    }
  }

  private void addStatement(String file, String block, ConfParser.StatementContext statement) {
    String keyword = statement.WORD().getText();
    if (statement.block() != null) {
      String path = block.isEmpty() ? keyword : block + "." + keyword;
      addLines(file, path, statement.block().line());
      return;
    }
    SettingLine line = settingLine(file, block, statement);
    if (keyword.equals(INCLUDE)) {
      include(line);
    } else {
      lines.add(line);
    }
  }

  private static SettingLine settingLine(
      String file, String block, ConfParser.StatementContext statement) {
    return new SettingLine(
        file,
        statement.WORD().getSymbol().getLine(),
        statement.WORD().getSymbol().getCharPositionInLine() + 1,
        block,
        statement.WORD().getText(),
        statement.value().stream().map(SettingsFileParser::valueText).toList());
  }

  private void include(SettingLine line) {
    if (!line.block().isEmpty()) {
      faults.add(line.fault(INCLUDE, "is allowed outside of blocks only"));
      return;
    }
    if (line.values().size() != 1) {
      faults.add(line.fault(INCLUDE, "takes one path, found " + line.values().size() + " values"));
      return;
    }
    try {
      Path includedFile = openFiles.element().resolveSibling(line.values().get(0));
      readFile(includedFile, line.fault(INCLUDE, ""));
    } catch (InvalidPathException e) {
      faults.add(line.fault(INCLUDE, "is not a path: " + e.getReason()));
    }
  }

  /** Returns the text of a value, unquoted and unescaped. */
  private static String valueText(ConfParser.ValueContext value) {
    String text = value.getText();
    if (value.STRING() == null) {
      return text;
    }
    return text.substring(1, text.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
  }
}
