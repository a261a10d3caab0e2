package pearusher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The names that leave the process stand in the code as {@code config/external-names.txt} lists
 * them. Guards against a renaming that changes a message, a setting, a stored key, a command or a
 * measurement that others read.
 */
class ExternalNamesTest {
  private static final Path LIST = Path.of("config", "external-names.txt");
  private static final Pattern HEADING = Pattern.compile("\\[(text|code) ([^:]+): ([^]]+)]");

  /** A string literal, or a comment, which is left out. */
  private static final Pattern LITERAL_OR_COMMENT =
      Pattern.compile("\"((?:\\\\.|[^\"\\\\\\n])*)\"|//[^\\n]*|/\\*.*?\\*/", Pattern.DOTALL);

  /** Two string literals that the compiler joins to one. */
  private static final Pattern JOINED_LITERALS = Pattern.compile("\"\\s*\\+\\s*\"");

  /** Names of one kind, and the code that writes or reads them. */
  private record Section(boolean inLiterals, String kind, List<Path> paths, List<String> names) {}

  @Test
  void everyListedNameOccursInTheCodeThatWritesOrReadsIt() throws IOException {
    List<String> missing = new ArrayList<>();
    for (Section section : sections()) {
      String code = code(section);
      for (String name : section.names()) {
        if (!containsWord(code, name)) {
          missing.add(section.kind() + ": " + name);
        }
      }
    }
    assertEquals(List.of(), missing);
  }

  @Test
  void everySectionNamesCodeAndHasNames() throws IOException {
    List<Section> sections = sections();
    assertTrue(sections.size() >= 20, sections.size() + " sections");
    for (Section section : sections) {
      assertTrue(section.names().size() > 0, section.kind());
      for (Path path : section.paths()) {
        assertTrue(Files.exists(path), path.toString());
      }
    }
  }

  @Test
  void aNameIsFoundInLiteralsAsAWholeWordOnly() {
    String literals = literals("f(\"span_ms\" + \" mean\"); // \"heard\"\n/* \"usage\" */");
    assertTrue(containsWord(literals, "span_ms mean"));
    assertTrue(containsWord(literals, "mean"));
    assertEquals(false, containsWord(literals, "span"));
    assertEquals(false, containsWord(literals, "heard"));
    assertEquals(false, containsWord(literals, "usage"));
    assertEquals(false, containsWord(literals, "f"));
  }

  private static List<Section> sections() throws IOException {
    List<Section> sections = new ArrayList<>();
    for (String line : Files.readAllLines(LIST)) {
      Matcher heading = HEADING.matcher(line);
      if (heading.matches()) {
        List<Path> paths = Stream.of(heading.group(3).split(" ")).map(Path::of).toList();
        boolean inLiterals = heading.group(1).equals("text");
        sections.add(new Section(inLiterals, heading.group(2), paths, new ArrayList<>()));
      } else if (!line.isBlank() && !line.startsWith("#")) {
        sections.get(sections.size() - 1).names().add(line);
      }
    }
    return sections;
  }

  /** Returns the string literals of a section's code, or its code without comments. */
  private static String code(Section section) throws IOException {
    StringBuilder code = new StringBuilder();
    for (Path path : section.paths()) {
      try (Stream<Path> files = Files.walk(path)) {
        files
            .filter(Files::isRegularFile)
            .map(ExternalNamesTest::read)
            .map(text -> section.inLiterals() ? literals(text) : statements(text))
            .forEach(text -> code.append(text).append('\n'));
      }
    }
    return code.toString();
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String withoutComments(String text) {
    return LITERAL_OR_COMMENT
        .matcher(text)
        .replaceAll(
            match -> match.group(1) == null ? " " : Matcher.quoteReplacement(match.group()));
  }

  /** Returns the code without comments, with white space folded to single spaces. */
  private static String statements(String text) {
    return withoutComments(text).replaceAll("\\s+", " ");
  }

  private static String literals(String text) {
    String joined = JOINED_LITERALS.matcher(withoutComments(text)).replaceAll("");
    return LITERAL_OR_COMMENT
        .matcher(joined)
        .results()
        .map(match -> match.group(1))
        .collect(Collectors.joining("\n"));
  }

  /** Whether a name stands in a text with no letter, digit or underscore beside it. */
  private static boolean containsWord(String text, String name) {
    String start = startsInWord(name) ? "(?<!\\w)" : "";
    String end = endsInWord(name) ? "(?!\\w)" : "";
    return Pattern.compile(start + Pattern.quote(name) + end).matcher(text).find();
  }

  private static boolean startsInWord(String name) {
    return Character.isLetterOrDigit(name.charAt(0));
  }

  private static boolean endsInWord(String name) {
    return Character.isLetterOrDigit(name.charAt(name.length() - 1));
  }
}
