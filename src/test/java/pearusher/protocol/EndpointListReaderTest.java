package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pearusher.protocol.EndpointListFixture.LIST;
import static pearusher.protocol.EndpointListFixture.NAMES;
import static pearusher.protocol.EndpointListFixture.feed;
import static pearusher.protocol.EndpointListFixture.reader;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pearusher.policy.Lifecycle;
import pearusher.server.TestPeers;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/**
 * Endpoint lists that arrive in pieces: content, invalid values and malformed JSON. A reference
 * decoder, which parses the complete text at once, guards against results that depend on how the
 * text was divided.
 */
class EndpointListReaderTest {
  private static final String VALID_ENTRY_FIELDS =
      "\"zone\":\"north\",\"instanceId\":\"b\",\"lifecycle\":\"x\"";
  private static final String ARRAY_VALUES = "\"zone\":[\"south\"],\"instanceId\":[\"b\",2,null]";

  /** Reference decoder: looks up each value by its path in the complete text. */
  private static EndpointList readByReferenceDecoder(byte[] text) throws SettingsException {
    Map<String, Lifecycle> states =
        Map.of(
            "in_service",
            Lifecycle.READY,
            "terminating",
            Lifecycle.DRAINING,
            "terminated",
            Lifecycle.REMOVED);
    PathValues values = PathValues.parseJson("list", text);
    List<Endpoint> endpoints = new ArrayList<>();
    for (int k = 0; k < values.intBetween("instances.count", 0, 1 << 20, 0); k++) {
      String path = "instances." + k + ".";
      Integer zone = NAMES.zones().get(values.require(path + "zone"));
      if (zone == null) {
        continue;
      }
      endpoints.add(
          new Endpoint(
              values.require(path + "instanceId"),
              values.text(path + "hostPort").orElse(null),
              zone,
              values.text(path + "machineType").map(NAMES.machineTypes()::get).orElse(2),
              (int) values.doubleOrZero(path + "cell"),
              states.getOrDefault(values.require(path + "lifecycle"), Lifecycle.DRAINING),
              values.has(path + "weight") ? values.requireDouble(path + "weight") : 1,
              Math.round(values.doubleOrZero(path + "startedAtMs") * 1000)));
    }
    return new EndpointList(
        values.requireLong("generation"), values.requireBoolean("reset"), endpoints);
  }

  @Test
  void completeListAndDeltaAreDecoded() throws Exception {
    EndpointList list =
        TestPeers.readEndpointList(
            TestPeers.endpointListJson(
                43,
                false,
                TestPeers.endpointJson(
                    "a", "127.0.0.1:1", "south", "terminating", 1_700_000_000_123L),
                TestPeers.endpointJson("b", "127.0.0.1:2", "north", "terminated", 0),
                TestPeers.endpointJson("c", "127.0.0.1:3", "nowhere", "in_service", 0),
                TestPeers.endpointJson("d", "127.0.0.1:4", "north", "resting", 0)),
            NAMES);
    assertEquals(43, list.generation());
    assertEquals(
        List.of(
            new Endpoint(
                "a", "127.0.0.1:1", 1, 0, 0, Lifecycle.DRAINING, 1, 1_700_000_000_123_000L),
            new Endpoint("b", "127.0.0.1:2", 0, 0, 0, Lifecycle.REMOVED, 1, 0),
            new Endpoint("d", "127.0.0.1:4", 0, 0, 0, Lifecycle.DRAINING, 1, 0)),
        list.endpoints());
    assertTrue(
        !list.complete()
            && TestPeers.readEndpointList(TestPeers.endpointListJson(0, true), NAMES).complete());
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 64, 100_000})
  void listIsDecodedForAnyPieceSize(int pieceBytes) throws Exception {
    byte[] text = LIST.getBytes(StandardCharsets.UTF_8);
    EndpointListReader reader = reader(2);
    for (int round = 0; round < 2; round++) {
      feed(reader, text, pieceBytes);
      assertEquals(Optional.of(readByReferenceDecoder(text)), reader.endOfLine());
      assertEquals(Optional.empty(), reader.endOfLine(), "an empty line follows");
    }
  }

  @Test
  void emptyLineIsNeitherListNorFault() throws Exception {
    EndpointListReader reader = reader(2);
    assertEquals(Optional.empty(), reader.endOfLine());
    feed(reader, "\r");
    assertEquals(Optional.empty(), reader.endOfLine());
    feed(reader, "\r");
    feed(reader, "\r");
    assertThrows(SettingsException.class, reader::endOfLine);
    feed(reader, " ");
    assertEquals(
        "list: not a JSON object",
        assertThrows(SettingsException.class, reader::endOfLine).getMessage());
    assertEquals(
        "list: not a JSON object",
        assertThrows(SettingsException.class, reader::endOfBody).getMessage());
  }

  /** A line that is truncated at any position is malformed and does not affect the next line. */
  @Test
  void truncatedLineIsRejectedAndNextLineIsRead() throws Exception {
    byte[] text = LIST.getBytes(StandardCharsets.UTF_8);
    EndpointListReader reader = reader(2);
    for (int length = 1; length < text.length; length++) {
      feed(reader, Arrays.copyOf(text, length), 50);
      String message = assertThrows(SettingsException.class, reader::endOfLine).getMessage();
      assertTrue(message.startsWith("list: malformed JSON: "), length + ": " + message);
    }
    feed(reader, LIST);
    assertEquals(2, reader.endOfLine().orElseThrow().endpoints().size());
  }

  private static String listWith(String fields) {
    String first = "{\"instanceId\":\"a\",\"zone\":\"north\",\"lifecycle\":\"in_service\"}";
    return "{\"generation\":1,\"reset\":true,\"instances\":[" + first + ",{" + fields + "}]}";
  }

  /** The error message equals that of the reference decoder. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "[]|list: not a JSON object",
        "12|list: not a JSON object",
        "{} {}|list: text after the JSON object",
        "{}|list: the key generation is missing",
        "{\"generation\":1}|list: the key reset is missing",
        "{\"generation\":\"x\",\"reset\":true}|list: the key generation is unreadable: 'x'",
        "{\"generation\":1,\"reset\":7}|list: the key reset is unreadable: '7'",
        "{\"reset\":true,\"instances\":[{}]}|list: the key instances.0.zone is missing",
        "{\"reset\":true,\"instances\":[7,[{}]]}|list: the key instances.0.zone is missing",
        "{\"reset\":true,\"instances\":[{\"zone\":\"east\"},7]}|list: the key instances.1.zone is"
            + " missing",
        "{\"reset\":true,\"instances\":[{\"zone\":\"east\"}]}|list: the key generation is missing",
        "{\"reset\":true,\"instances\":[7,8]}|list: the key generation is missing"
      })
  void invalidListIsRejectedWithFieldName(String text, String expected) throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, text.getBytes(StandardCharsets.UTF_8), 3);
    assertEquals(expected, assertThrows(SettingsException.class, reader::endOfBody).getMessage());
    assertEquals(
        expected,
        assertThrows(
                SettingsException.class,
                () -> readByReferenceDecoder(text.getBytes(StandardCharsets.UTF_8)))
            .getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "\"instanceId\":\"b\"|zone is missing",
        "\"zone\":null|zone is missing",
        "\"zone\":{\"x\":1}|zone is missing",
        "\"zone\":[[1]]|zone is missing",
        "\"zone\":\"north\"|instanceId is missing",
        "\"zone\":\"north\",\"instanceId\":\"b\"|lifecycle is missing",
        "\"zone\":\"north\",\"instanceId\":\"b\",\"cell\":\"c\"|cell is unreadable: 'c'",
        "\"zone\":\"north\",\"instanceId\":\"b\",\"lifecycle\":\"x\",\"weight\":true|weight is"
            + " unreadable: 'true'",
        VALID_ENTRY_FIELDS + ",\"startedAtMs\":\"NaN\"|startedAtMs is unreadable: 'NaN'"
      })
  void invalidEntryIsRejectedWithFieldName(String fields, String expected) throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, listWith(fields));
    String fullMessage = "list: the key instances.1." + expected;
    assertEquals(
        fullMessage, assertThrows(SettingsException.class, reader::endOfLine).getMessage());
    assertEquals(
        fullMessage,
        assertThrows(
                SettingsException.class,
                () -> readByReferenceDecoder(listWith(fields).getBytes(StandardCharsets.UTF_8)))
            .getMessage());
  }

  /** Fields that are repeated, null, empty or arrays, and servers that are repeated. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"zone\":\"south\",\"zone\":\"north\",\"instanceId\":\"b\",\"lifecycle\":\"x\"",
        "\"zone\":\"south\",\"zone\":null,\"instanceId\":12,\"lifecycle\":[]",
        ARRAY_VALUES + ",\"lifecycle\":\"terminated\",\"weight\":[2.5]",
        "\"zone\":\"south\",\"instanceId\":\"a\",\"lifecycle\":\"terminated\",\"cell\":\"7\"",
        "\"zone\":\"east\"",
        "\"zone\":[]",
        "\"zone\":\"south\",\"instanceId\":\"\",\"lifecycle\":\"x\""
      })
  void entryIsDecodedAsByReferenceDecoder(String fields) throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, listWith(fields));
    assertEquals(
        Optional.of(readByReferenceDecoder(listWith(fields).getBytes(StandardCharsets.UTF_8))),
        reader.endOfLine());
  }

  @Test
  void lastOfTwoArraysOfEntriesIsUsed() throws Exception {
    EndpointListReader reader = reader(9);
    String server = TestPeers.endpointJson("c", "127.0.0.1:3", "north", "in_service", 0);
    feed(
        reader,
        LIST.substring(0, LIST.length() - 1)
            + ",\"instances\":["
            + server
            + "],\"instances\":null}");
    assertEquals(
        List.of("c"),
        reader.endOfLine().orElseThrow().endpoints().stream().map(Endpoint::server).toList());
  }

  private static String randomScalar(Random random) {
    return switch (random.nextInt(6)) {
      case 0 -> "null";
      case 1 -> "true";
      case 2 -> Integer.toString(random.nextInt(100) - 20);
      case 3 -> Double.toString(random.nextInt(1000) / 8.0);
      case 4 -> "\"" + random.nextInt(50) + "\"";
      default -> "\"t\\\"\\\\{}[],:\\n\\u20ac" + (char) (0xe0 + random.nextInt(30)) + "\"";
    };
  }

  private static String randomValue(Random random, int depth) {
    if (depth == 0 || random.nextInt(3) > 0) {
      return randomScalar(random);
    }
    List<String> parts =
        IntStream.range(0, random.nextInt(3))
            .mapToObj(k -> randomValue(random, depth - 1))
            .toList();
    if (random.nextBoolean()) {
      return "[" + String.join(", ", parts) + "]";
    }
    return "{" + String.join(",", parts.stream().map(p -> "\"zone\" : " + p).toList()) + "}";
  }

  /**
   * Returns an object that has the fields in random order among unknown fields; some fields are
   * repeated or have a random value.
   */
  private static String randomObject(Random random, Map<String, String> fields) {
    List<String> members = new ArrayList<>();
    fields.forEach(
        (key, value) -> {
          members.add(
              "\"" + key + "\":" + (random.nextInt(60) == 0 ? randomValue(random, 2) : value));
          if (random.nextInt(20) == 0) {
            members.add("\"" + key + "\":" + value);
          }
          if (random.nextInt(4) == 0) {
            members.add("\"other" + random.nextInt(9) + "\": " + randomValue(random, 3));
          }
        });
    Collections.shuffle(members, random);
    return "{" + String.join(random.nextBoolean() ? "," : " ,\n ", members) + "}";
  }

  private static String randomList(Random random) {
    List<String> servers = new ArrayList<>();
    for (int k = random.nextInt(8); k > 0; k--) {
      Map<String, String> fields = new LinkedHashMap<>();
      fields.put("instanceId", "\"s-" + random.nextInt(5) + "é\"");
      fields.put("zone", List.of("\"north\"", "\"south\"", "\"east\"").get(random.nextInt(3)));
      fields.put(
          "lifecycle",
          List.of("\"in_service\"", "\"terminating\"", "\"terminated\"", "\"new\"")
              .get(random.nextInt(4)));
      Map<String, String> others =
          Map.of(
              "hostPort",
              "\"127.0.0.1:" + k + "\"",
              "machineType",
              List.of("\"small\"", "\"large\"", "\"x\"").get(random.nextInt(3)),
              "cell",
              "" + random.nextInt(9),
              "weight",
              random.nextInt(40) / 8.0 + "",
              "startedAtMs",
              random.nextInt() + "");
      for (String key : new TreeSet<>(others.keySet())) {
        if (random.nextInt(4) > 0) {
          fields.put(key, others.get(key));
        }
      }
      servers.add(random.nextInt(80) == 0 ? randomValue(random, 2) : randomObject(random, fields));
    }
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("generation", random.nextInt(1000) + "");
    fields.put("reset", random.nextBoolean() + "");
    fields.put("instances", "[" + String.join(",", servers) + "]");
    return randomObject(random, fields);
  }

  private static String outcome(Callable<EndpointList> reading) throws Exception {
    try {
      return reading.call().toString();
    } catch (SettingsException e) {
      return e.getMessage();
    }
  }

  /**
   * Returns whether an object has two arrays of entries. The second replaces the first, whereas the
   * reference decoder would merge their servers.
   */
  private static boolean hasTwoArraysOfEntries(String text) {
    return text.indexOf("\"instances\"") != text.lastIndexOf("\"instances\"");
  }

  @Property(seed = "34", tries = 2000)
  void randomListIsDecodedAsByReferenceDecoder(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int pieceBytes) throws Exception {
    String text = randomList(new Random(seed));
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    EndpointListReader reader = reader(100);
    feed(reader, bytes, pieceBytes);
    if (!hasTwoArraysOfEntries(text)) {
      assertEquals(
          outcome(() -> readByReferenceDecoder(bytes)),
          outcome(() -> reader.endOfLine().orElseThrow()),
          text);
    }
  }
}
