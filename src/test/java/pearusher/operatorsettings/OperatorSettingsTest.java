package pearusher.operatorsettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests of valid and invalid settings files, and of the positions and texts of faults. */
class OperatorSettingsTest {
  private static String errorMessage(String text) {
    return assertThrows(InvalidSettingsException.class, () -> OperatorSettings.parse("f", text))
        .getMessage();
  }

  /** Returns the cases of broken.txt: the text of a file and, after {@code =>}, its first fault. */
  static Stream<Arguments> invalidFiles() throws IOException {
    String all;
    try (InputStream in = OperatorSettingsTest.class.getResourceAsStream("broken.txt")) {
      all = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
    return Stream.of(all.split("----\n"))
        .map(example -> Arguments.of((Object[]) example.strip().split("=> ", 2)));
  }

  @ParameterizedTest
  @MethodSource("invalidFiles")
  void invalidFileGivesTheExpectedFault(String text, String expected) {
    assertEquals(expected, errorMessage(text).lines().findFirst().orElseThrow());
  }

  @Test
  void allFaultsOfAFileAreReported() {
    assertEquals(3, errorMessage("store {\n sync x\n segment y\n nothing z\n}\n").lines().count());
  }

  // The effective values are listed in the order of the keys.
  @SuppressWarnings("EnumOrdinal")
  @Test
  void validFilesGiveTheirValuesAndDefaults() throws InvalidSettingsException {
    assertFalse(OperatorSettings.parse("f", "").isEnabled("store"));
    assertFalse(OperatorSettings.parse("f", "# nothing\n\n  # else\r\n").isEnabled("store"));
    OperatorSettings all =
        OperatorSettings.parse(
            "f",
            "store { # on\n"
                + "  directory \"/a b/\\\"c\\\\d\"\n"
                + "  sync interval\n"
                + "  interval 5ms\n"
                + "  patience 2.5s\n"
                + "  segment 64KiB\n"
                + "  compact-times 1.5\n"
                + "  damage stop\n"
                + "}");
    assertTrue(all.isEnabled("store"));
    assertEquals("/a b/\"c\\d", all.text(SettingKey.STORE_DIRECTORY));
    assertEquals(5_000, all.number(SettingKey.STORE_INTERVAL));
    assertEquals(2_500_000, all.number(SettingKey.STORE_PATIENCE));
    assertEquals(65_536, all.number(SettingKey.STORE_SEGMENT));
    assertEquals(1.5, all.number(SettingKey.STORE_COMPACT_TIMES));
    assertEquals(600_000_000, all.number(SettingKey.STORE_TRUST));
    List<OperatorSettings.Value> effectiveValues = all.effectiveValues();
    assertEquals(SettingKey.values().length, effectiveValues.size());
    assertEquals("f:3:3", effectiveValues.get(SettingKey.STORE_SYNC.ordinal()).from());
    assertEquals("default", effectiveValues.get(SettingKey.STORE_TRUST.ordinal()).from());
    assertEquals("10min", effectiveValues.get(SettingKey.STORE_TRUST.ordinal()).text());
  }

  @Test
  void eachDefaultIsWithinItsBounds() {
    for (SettingKey key : SettingKey.values()) {
      assertTrue(
          key.defaultText().isEmpty() || !Double.isNaN(key.parse(key.defaultText().get())),
          key.path());
      assertFalse(key.help().isBlank());
    }
  }

  @Test
  void configurationPageListsEveryKeyWithItsDefaultAndHelp() throws IOException {
    String page = Files.readString(Path.of("docs", "configuration.md"));
    for (SettingKey key : SettingKey.values()) {
      assertTrue(
          page.matches(
              "(?s).*\\| `"
                  + key.path()
                  + "` \\| "
                  + key.defaultText().map(text -> "`" + text + "`").orElse("needed")
                  + ".*"),
          key.path());
      assertTrue(page.contains(key.help()), key.path() + ": " + key.help());
    }
  }

  @Test
  void includedFilesAreReadAndTheirFaultsHavePositions(@TempDir Path dir) throws Exception {
    Path main = Files.writeString(dir.resolve("main.conf"), "include \"sub/store.conf\"\n");
    Path sub = Files.createDirectory(dir.resolve("sub"));
    Files.writeString(sub.resolve("store.conf"), "include more.conf\n");
    Path more = Files.writeString(sub.resolve("more.conf"), "store {\n  directory /d\n}\n");
    OperatorSettings read = OperatorSettings.read(main);
    assertEquals(more + ":2:3", read.effectiveValues().get(0).from());
    Files.writeString(more, "store {\n  directory /d\n  sync x\n}\n");
    assertTrue(
        assertThrows(InvalidSettingsException.class, () -> OperatorSettings.read(main))
            .getMessage()
            .startsWith(more + ":3:3: store.sync: "));
    Files.writeString(more, "include ../main.conf\n");
    assertEquals(
        more + ":1:1: include: includes itself: " + sub.resolve("../main.conf"),
        assertThrows(InvalidSettingsException.class, () -> OperatorSettings.read(main))
            .getMessage());
    Files.writeString(more, "include none.conf\n");
    assertEquals(
        more
            + ":1:1: include: "
            + sub.resolve("none.conf")
            + " can't be read; name a file that is there and may be read",
        assertThrows(InvalidSettingsException.class, () -> OperatorSettings.read(main))
            .getMessage());
    Files.write(more, new byte[] {(byte) 0xff, (byte) 0xfe, 0});
    assertTrue(
        assertThrows(InvalidSettingsException.class, () -> OperatorSettings.read(main))
            .getMessage()
            .contains("is not UTF-8 text"));
    assertTrue(
        assertThrows(InvalidSettingsException.class, () -> OperatorSettings.read(dir.resolve("no")))
            .getMessage()
            .startsWith(dir.resolve("no") + ": "));
  }

  @Provide
  static Arbitrary<String> texts() {
    Arbitrary<String> piece =
        Arbitraries.of(
            "store",
            "{",
            "}",
            "\n",
            "\r",
            "directory",
            "sync",
            " ",
            "\t",
            "\"",
            "\\",
            "#",
            "include",
            "/d",
            "5ms",
            "8MiB",
            "interval",
            "x",
            "\0",
            "\u20ac",
            "{\n",
            "}\n",
            "a b\n",
            "store {\n directory /d\n");
    return Arbitraries.oneOf(
        piece.list().ofMaxSize(40).map(pieces -> String.join("", pieces)),
        Arbitraries.strings().ofMaxLength(200),
        Arbitraries.of("{", "\"", "a {\n").map(text -> text.repeat(9000)));
  }

  /** Guards against parser exceptions, stack overflows and faults without a position. */
  @Property(seed = "41", tries = 3000)
  void anyTextGivesSettingsOrFaultsWithPositions(@ForAll("texts") String text) {
    try {
      OperatorSettings.parse("f", text);
    } catch (InvalidSettingsException e) {
      assertFalse(e.faults().isEmpty());
      for (SettingsFault fault : e.faults()) {
        assertTrue(
            fault.line() >= 1 && fault.column() >= 1 && !fault.text().isBlank(), fault.toString());
      }
    }
  }
}
