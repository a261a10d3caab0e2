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
import java.util.Map;
import java.util.StringJoiner;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.IntervalSet;

/**
 * Reads settings files into lines of block, word and values, following includes. It knows the
 * grammar and no key. Whatever the bytes are, it ends with lines or with faults that have a place.
 */
final class SettingsFileParser {
  /**
   * Bounds on what is read: no settings come near them, and a file that was named by mistake may.
   */
  private static final int MOST_BYTES = 1 << 20;

  private static final int MOST_DEPTH = 16;
  private static final int MOST_INCLUDES = 64;
  private static final int MOST_FAULTS = 20;

  private static final Map<Integer, String> TOKENS =
      Map.of(
          ConfLexer.STRING,
          "a quoted text",
          ConfLexer.WORD,
          "a word",
          ConfLexer.NL,
          "the end of the line",
          ConfLexer.OPEN,
          "'{'",
          ConfLexer.CLOSE,
          "'}'",
          Token.EOF,
          "the end of the file");

  /** A setting with its place; {@code block}: the blocks around it, joined by dots. */
  record Line(String file, int line, int column, String block, String word, List<String> values) {
    SettingsFault fault(String key, String text) {
      return new SettingsFault(file, line, column, key, text);
    }
  }

  private final List<Line> lines = new ArrayList<>();
  private final List<SettingsFault> faults = new ArrayList<>();
  private final Deque<Path> open = new ArrayDeque<>();
  private int files;

  private SettingsFileParser() {}

  static List<Line> read(Path path) throws InvalidSettingsException {
    SettingsFileParser out = new SettingsFileParser();
    out.file(path, new SettingsFault(path.toString(), 0, 0, "", ""));
    return out.end();
  }

  /** The text of one file that has no includes of its own directory. */
  static List<Line> parse(String name, String text) throws InvalidSettingsException {
    SettingsFileParser out = new SettingsFileParser();
    out.open.push(Path.of(name));
    out.text(name, text);
    return out.end();
  }

  private List<Line> end() throws InvalidSettingsException {
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults.subList(0, Math.min(MOST_FAULTS, faults.size())));
    }
    return lines;
  }

  /** Reads a file that {@code from} names. */
  private void file(Path path, SettingsFault from) {
    Path real = path.toAbsolutePath().normalize();
    if (open.contains(real)) {
      add(from, "includes itself: " + path);
      return;
    }
    if (++files > MOST_INCLUDES) {
      add(from, "more than " + MOST_INCLUDES + " files are included");
      return;
    }
    String text;
    try {
      if (Files.size(path) > MOST_BYTES) {
        add(from, path + " is longer than 1 MiB, which no settings are");
        return;
      }
      text =
          StandardCharsets.UTF_8
              .newDecoder()
              .decode(ByteBuffer.wrap(Files.readAllBytes(path)))
              .toString();
    } catch (CharacterCodingException e) {
      add(from, path + " is not UTF-8 text");
      return;
    } catch (IOException e) {
      add(from, path + " can't be read; name a file that is there and may be read");
      return;
    }
    open.push(real);
    text(path.toString(), text);
    open.pop();
  }

  private void add(SettingsFault at, String text) {
    faults.add(new SettingsFault(at.file(), at.line(), at.column(), at.key(), text));
  }

  private void text(String name, String text) {
    ConfLexer lexer = new ConfLexer(CharStreams.fromString(text, name));
    lexer.removeErrorListeners();
    CommonTokenStream tokens = new CommonTokenStream(lexer);
    tokens.fill();
    int depth = 0;
    for (Token one : tokens.getTokens()) {
      depth += one.getType() == ConfLexer.OPEN ? 1 : one.getType() == ConfLexer.CLOSE ? -1 : 0;
      // The parser goes down a call a block: a file of braces must not end its stack.
      if (depth > MOST_DEPTH) {
        faults.add(
            new SettingsFault(
                name,
                one.getLine(),
                one.getCharPositionInLine() + 1,
                "",
                "more than " + MOST_DEPTH + " blocks in one another"));
        return;
      }
    }
    ConfParser parser = new ConfParser(tokens);
    parser.removeErrorListeners();
    int before = faults.size();
    parser.addErrorListener(
        new BaseErrorListener() {
          @Override
          public void syntaxError(
              Recognizer<?, ?> by,
              Object symbol,
              int line,
              int column,
              String message,
              RecognitionException e) {
            faults.add(
                new SettingsFault(
                    name,
                    line,
                    column + 1,
                    "",
                    "found "
                        + shown((Token) symbol)
                        + ", expected "
                        + expected(
                            e != null
                                ? e.getExpectedTokens()
                                : ((Parser) by).getExpectedTokens())));
          }
        });
    ConfParser.FileContext file = parser.file();
    if (faults.size() == before) {
      lines(name, "", file.line());
    }
  }

  private static String shown(Token token) {
    String text = TOKENS.get(token.getType());
    boolean named = token.getType() == ConfLexer.NL || token.getType() == Token.EOF;
    if (token.getType() == ConfLexer.OTHER && token.getText().equals("\"")) {
      return "a quote that is not closed on its line";
    }
    return named ? text : "'" + token.getText() + "'";
  }

  private static String expected(IntervalSet types) {
    StringJoiner out = new StringJoiner(" or ");
    for (int type : types.toArray()) {
      out.add(TOKENS.getOrDefault(type, "another token"));
    }
    return out.toString();
  }

  private void lines(String name, String block, List<ConfParser.LineContext> of) {
    of.stream().filter(line -> line.item() != null).forEach(line -> item(name, block, line.item()));
  }

  private void item(String name, String block, ConfParser.ItemContext setting) {
    Token first = setting.WORD().getSymbol();
    if (setting.block() != null) {
      lines(
          name,
          block.isEmpty() ? first.getText() : block + "." + first.getText(),
          setting.block().line());
      return;
    }
    List<String> values = setting.value().stream().map(SettingsFileParser::value).toList();
    Line line =
        new Line(
            name,
            first.getLine(),
            first.getCharPositionInLine() + 1,
            block,
            first.getText(),
            values);
    if (!line.word().equals("include")) {
      lines.add(line);
    } else if (!block.isEmpty() || values.size() != 1) {
      faults.add(
          line.fault(
              "include", block.isEmpty() ? "takes one path" : "stands outside of blocks only"));
    } else {
      try {
        Path from = open.peek();
        file(from.resolveSibling(values.get(0)), line.fault("include", ""));
      } catch (InvalidPathException e) {
        faults.add(line.fault("include", "is not a path: " + e.getReason()));
      }
    }
  }

  private static String value(ConfParser.ValueContext value) {
    String text = value.getText();
    if (value.STRING() == null) {
      return text;
    }
    return text.substring(1, text.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
  }
}
