package pearusher.operatorsettings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.IntervalSet;

/** Parser of the text of one settings file, which describes its syntax errors for operators. */
final class SettingsSyntax {
  private static final int MAX_BLOCK_DEPTH = 16;

  private static final Map<Integer, String> TOKEN_NAMES =
      Map.of(
          ConfLexer.STRING, "a quoted text",
          ConfLexer.WORD, "a word",
          ConfLexer.NEWLINE, "the end of the line",
          ConfLexer.LEFT_BRACE, "'{'",
          ConfLexer.RIGHT_BRACE, "'}'",
          Token.EOF, "the end of the file");

  private final String file;
  private final List<SettingsFault> faults = new ArrayList<>();

  private SettingsSyntax(String file) {
    this.file = file;
  }

  /**
   * Parses a text.
   *
   * @param file the file name in positions
   * @param faults the list to which syntax errors are added
   * @return the syntax tree; empty if the text has syntax errors
   */
  static Optional<ConfParser.FileContext> parse(
      String file, String text, List<SettingsFault> faults) {
    SettingsSyntax syntax = new SettingsSyntax(file);
    Optional<ConfParser.FileContext> parsed = syntax.parse(text);
    faults.addAll(syntax.faults);
    return parsed;
  }

  private Optional<ConfParser.FileContext> parse(String text) {
    ConfLexer lexer = new ConfLexer(CharStreams.fromString(text, file));
    lexer.removeErrorListeners();
    CommonTokenStream tokens = new CommonTokenStream(lexer);
    tokens.fill();
    checkDepth(tokens.getTokens());
    if (!faults.isEmpty()) {
      return Optional.empty();
    }
    ConfParser parser = new ConfParser(tokens);
    parser.removeErrorListeners();
    parser.addErrorListener(new ErrorCollector());
    ConfParser.FileContext parsed = parser.file();
    return faults.isEmpty() ? Optional.of(parsed) : Optional.empty();
  }

  /** Limits the nesting of blocks: the parser is recursive, and deep nesting exhausts its stack. */
  private void checkDepth(List<Token> tokens) {
    int depth = 0;
    for (Token token : tokens) {
      depth += depthChange(token);
      if (depth > MAX_BLOCK_DEPTH) {
        addFault(
            token.getLine(),
            token.getCharPositionInLine(),
            "blocks are nested more than " + MAX_BLOCK_DEPTH + " deep");
        return;
      }
    }
  }

  private static int depthChange(Token token) {
    return switch (token.getType()) {
      case ConfLexer.LEFT_BRACE -> 1;
      case ConfLexer.RIGHT_BRACE -> -1;
      default -> 0;
    };
  }

  /** Adds a fault; {@code positionInLine} starts at 0. */
  private void addFault(int line, int positionInLine, String text) {
    faults.add(new SettingsFault(file, line, positionInLine + 1, "", text));
  }

  private final class ErrorCollector extends BaseErrorListener {
    @Override
    public void syntaxError(
        Recognizer<?, ?> recognizer,
        Object symbol,
        int line,
        int positionInLine,
        String message,
        RecognitionException cause) {
      IntervalSet expected =
          cause != null ? cause.getExpectedTokens() : ((Parser) recognizer).getExpectedTokens();
      addFault(
          line,
          positionInLine,
          "found " + describe((Token) symbol) + ", expected " + describe(expected));
    }
  }

  private static String describe(Token token) {
    if (token.getType() == ConfLexer.UNEXPECTED && token.getText().equals("\"")) {
      return "a quote that is not closed on its line";
    }
    boolean hasVisibleText = token.getType() != ConfLexer.NEWLINE && token.getType() != Token.EOF;
    return hasVisibleText ? "'" + token.getText() + "'" : TOKEN_NAMES.get(token.getType());
  }

  private static String describe(IntervalSet tokenTypes) {
    StringJoiner names = new StringJoiner(" or ");
    for (int type : tokenTypes.toArray()) {
      names.add(TOKEN_NAMES.getOrDefault(type, "another token"));
    }
    return names.toString();
  }
}
