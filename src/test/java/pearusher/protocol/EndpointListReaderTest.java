package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
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
 * Lists of servers as they come in pieces: what they mean, their faults, and what they may cost.
 */
class EndpointListReaderTest {
  private static final String ANOTHER =
      "\"zone\":\"north\",\"instanceId\":\"b\",\"lifecycle\":\"x\"";
  private static final String LISTS = "\"zone\":[\"south\"],\"instanceId\":[\"b\",2,null]";

  private static final long HEAP = 40L << 20;
  private static final WireNames NAMES =
      new WireNames(
          Map.of("north", 0, "south", 1),
          List.of(),
          Map.of(),
          new HashMap<>(Map.of("small", 0, "large", 1)),
          List.of());
  private static final String LIST =
      TestPeers.listing(
          43,
          true,
          TestPeers.instance(
              "s-ä-€-\\u00e9", "127.0.0.1:1", "south", "terminating", 1_700_000_000_123L),
          TestPeers.instance("b", "127.0.0.1:2", "north", "in_service", 0));

  private static EndpointListReader reader(int servers) {
    return new EndpointListReader(NAMES, new EndpointListLimits(servers, 1000, HEAP));
  }

  private static void feed(EndpointListReader reader, byte[] text, int piece)
      throws EndpointListTooLongException {
    for (int from = 0; from < text.length; from += piece) {
      reader.feed(ByteBuffer.wrap(text, from, Math.min(piece, text.length - from)).slice());
    }
  }

  private static void feed(EndpointListReader reader, String text)
      throws EndpointListTooLongException {
    feed(reader, text.getBytes(StandardCharsets.UTF_8), Integer.MAX_VALUE >> 1);
  }

  /** The meaning of a list as it was when the whole text was flattened to values by path. */
  private static EndpointList flattened(byte[] text) throws SettingsException {
    Map<String, Lifecycle> states =
        Map.of(
            "in_service",
            Lifecycle.READY,
            "terminating",
            Lifecycle.DRAINING,
            "terminated",
            Lifecycle.REMOVED);
    PathValues at = PathValues.parseJson("list", text);
    List<Endpoint> out = new ArrayList<>();
    for (int k = 0; k < at.intBetween("instances.count", 0, 1 << 20, 0); k++) {
      String path = "instances." + k + ".";
      Integer zone = NAMES.zones().get(at.require(path + "zone"));
      if (zone == null) {
        continue;
      }
      out.add(
          new Endpoint(
              at.require(path + "instanceId"),
              at.text(path + "hostPort").orElse(null),
              zone,
              at.text(path + "machineType").map(NAMES.machineTypes()::get).orElse(2),
              (int) at.doubleOrZero(path + "cell"),
              states.getOrDefault(at.require(path + "lifecycle"), Lifecycle.DRAINING),
              at.has(path + "weight") ? at.requireDouble(path + "weight") : 1,
              Math.round(at.doubleOrZero(path + "startedAtMs") * 1000)));
    }
    return new EndpointList(at.requireLong("generation"), at.requireBoolean("reset"), out);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 64, 100_000})
  void piecesOfEverySizeMeanTheSame(int piece) throws Exception {
    byte[] text = LIST.getBytes(StandardCharsets.UTF_8);
    EndpointListReader reader = reader(2);
    for (int round = 0; round < 2; round++) {
      feed(reader, text, piece);
      assertEquals(flattened(text), reader.endOfLine());
      assertNull(reader.endOfLine(), "an empty line follows");
    }
  }

  @Test
  void anEmptyLineIsNoListAndNoFault() throws Exception {
    EndpointListReader reader = reader(2);
    assertNull(reader.endOfLine());
    feed(reader, "\r");
    assertNull(reader.endOfLine());
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

  /** Wherever it breaks off, a line is none, and says nothing of the next one. */
  @Test
  void aTextThatBreaksOffIsMalformed() throws Exception {
    byte[] text = LIST.getBytes(StandardCharsets.UTF_8);
    EndpointListReader reader = reader(2);
    for (int length = 1; length < text.length; length++) {
      feed(reader, java.util.Arrays.copyOf(text, length), 50);
      String said = assertThrows(SettingsException.class, reader::endOfLine).getMessage();
      assertTrue(said.startsWith("list: malformed JSON: "), length + ": " + said);
    }
    feed(reader, LIST);
    assertEquals(2, reader.endOfLine().endpoints().size());
  }

  private static String one(String fields) {
    String first = "{\"instanceId\":\"a\",\"zone\":\"north\",\"lifecycle\":\"in_service\"}";
    return "{\"generation\":1,\"reset\":true,\"instances\":[" + first + ",{" + fields + "}]}";
  }

  /** Each is what it was when the text was flattened; the model beside it says so too. */
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
  void aFaultOfAListIsNamed(String text, String said) throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, text.getBytes(StandardCharsets.UTF_8), 3);
    assertEquals(said, assertThrows(SettingsException.class, reader::endOfBody).getMessage());
    assertEquals(
        said,
        assertThrows(
                SettingsException.class, () -> flattened(text.getBytes(StandardCharsets.UTF_8)))
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
        ANOTHER + ",\"startedAtMs\":\"NaN\"|startedAtMs is unreadable: 'NaN'"
      })
  void aFaultOfAServerIsNamed(String fields, String said) throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, one(fields));
    String full = "list: the key instances.1." + said;
    assertEquals(full, assertThrows(SettingsException.class, reader::endOfLine).getMessage());
    assertEquals(
        full,
        assertThrows(
                SettingsException.class,
                () -> flattened(one(fields).getBytes(StandardCharsets.UTF_8)))
            .getMessage());
  }

  /** What counts as a value, of a field that stands twice, and of a server that is listed twice. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"zone\":\"south\",\"zone\":\"north\",\"instanceId\":\"b\",\"lifecycle\":\"x\"",
        "\"zone\":\"south\",\"zone\":null,\"instanceId\":12,\"lifecycle\":[]",
        LISTS + ",\"lifecycle\":\"terminated\",\"weight\":[2.5]",
        "\"zone\":\"south\",\"instanceId\":\"a\",\"lifecycle\":\"terminated\",\"cell\":\"7\"",
        "\"zone\":\"east\"",
        "\"zone\":[]",
        "\"zone\":\"south\",\"instanceId\":\"\",\"lifecycle\":\"x\""
      })
  void valuesMeanWhatTheyMeant(String fields) throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, one(fields));
    assertEquals(flattened(one(fields).getBytes(StandardCharsets.UTF_8)), reader.endOfLine());
  }

  @Test
  void ofTwoListsInOneObjectTheLastCounts() throws Exception {
    EndpointListReader reader = reader(9);
    String server = TestPeers.instance("c", "127.0.0.1:3", "north", "in_service", 0);
    feed(
        reader,
        LIST.substring(0, LIST.length() - 1)
            + ",\"instances\":["
            + server
            + "],\"instances\":null}");
    assertEquals(
        List.of("c"), reader.endOfLine().endpoints().stream().map(Endpoint::server).toList());
  }

  // The same as before, for whatever a list may hold.

  private static String scalar(Random random) {
    return switch (random.nextInt(6)) {
      case 0 -> "null";
      case 1 -> "true";
      case 2 -> Integer.toString(random.nextInt(100) - 20);
      case 3 -> Double.toString(random.nextInt(1000) / 8.0);
      case 4 -> "\"" + random.nextInt(50) + "\"";
      default -> "\"t\\\"\\\\{}[],:\\n\\u20ac" + (char) (0xe0 + random.nextInt(30)) + "\"";
    };
  }

  private static String any(Random random, int depth) {
    if (depth == 0 || random.nextInt(3) > 0) {
      return scalar(random);
    }
    List<String> parts =
        IntStream.range(0, random.nextInt(3)).mapToObj(k -> any(random, depth - 1)).toList();
    if (random.nextBoolean()) {
      return "[" + String.join(", ", parts) + "]";
    }
    return "{" + String.join(",", parts.stream().map(p -> "\"zone\" : " + p).toList()) + "}";
  }

  /** The fields in any order, between unknown ones; now and then one is spoilt, or stands twice. */
  private static String object(Random random, Map<String, String> fields) {
    List<String> out = new ArrayList<>();
    fields.forEach(
        (key, value) -> {
          out.add("\"" + key + "\":" + (random.nextInt(60) == 0 ? any(random, 2) : value));
          if (random.nextInt(20) == 0) {
            out.add("\"" + key + "\":" + value);
          }
          if (random.nextInt(4) == 0) {
            out.add("\"other" + random.nextInt(9) + "\": " + any(random, 3));
          }
        });
    java.util.Collections.shuffle(out, random);
    return "{" + String.join(random.nextBoolean() ? "," : " ,\n ", out) + "}";
  }

  private static String listing(Random random) {
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
      servers.add(random.nextInt(80) == 0 ? any(random, 2) : object(random, fields));
    }
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("generation", random.nextInt(1000) + "");
    fields.put("reset", random.nextBoolean() + "");
    fields.put("instances", "[" + String.join(",", servers) + "]");
    return object(random, fields);
  }

  private static String outcome(java.util.concurrent.Callable<EndpointList> of) throws Exception {
    try {
      return of.call().toString();
    } catch (SettingsException e) {
      return e.getMessage();
    }
  }

  /**
   * The second list of one object replaces the first as a whole, where its servers were merged
   * before.
   */
  private static boolean twice(String text) {
    return text.indexOf("\"instances\"") != text.lastIndexOf("\"instances\"");
  }

  @Property(seed = "34", tries = 2000)
  void whatItReadsIsWhatTheFlattenedTextMeant(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int piece) throws Exception {
    String text = listing(new Random(seed));
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    EndpointListReader reader = reader(100);
    feed(reader, bytes, piece);
    if (!twice(text)) {
      assertEquals(outcome(() -> flattened(bytes)), outcome(reader::endOfLine), text);
    }
  }

  // Limits.

  private static String many(int servers, int idLength) {
    StringBuilder out = new StringBuilder();
    for (int k = 0; k < servers; k++) {
      String id = "s-" + k;
      out.append(k == 0 ? "" : ",")
          .append(
              TestPeers.instance(
                  id + "x".repeat(Math.max(0, idLength - id.length())),
                  "10.1." + (k >> 8) + "." + (k & 255) + ":8080",
                  k % 2 == 0 ? "north" : "south",
                  "in_service",
                  1_700_000_000_000L + k));
    }
    return TestPeers.listing(43, true, out.toString());
  }

  @Test
  void aListOverTheLimitIsRefusedAtOnceAndTheNextOneIsRead() throws Exception {
    EndpointListReader reader = reader(5);
    feed(reader, many(5, 0));
    assertEquals(5, reader.endOfLine().endpoints().size());
    String six = many(6, 0);
    EndpointListTooLongException refused =
        assertThrows(
            EndpointListTooLongException.class,
            () -> feed(reader, six.substring(0, six.length() - 2)));
    assertEquals("over 5 servers: the heap of 40 MB holds no more", refused.getMessage());
    feed(reader, many(5, 0));
    assertEquals(5, reader.endOfLine().endpoints().size());
  }

  /** Servers that are passed over take no place. */
  @Test
  void onlyServersThatAreKeptCount() throws Exception {
    EndpointListReader reader = reader(5);
    feed(
        reader,
        TestPeers.listing(
            1,
            true,
            many(5, 0).replaceFirst(".*\"instances\":\\[", "").replaceFirst("\\]\\}$", ""),
            TestPeers.instance("e", "127.0.0.1:1", "east", "in_service", 0)));
    assertEquals(5, reader.endOfLine().endpoints().size());
  }

  @Test
  void anIdMayHave255Characters() throws Exception {
    EndpointListReader reader = reader(9);
    for (String character : List.of("x", "é", "€", "😀")) {
      feed(reader, many(1, 0).replace("s-0", character.repeat(255)));
      assertEquals(character.repeat(255), reader.endOfLine().endpoints().get(0).server());
      feed(reader, many(1, 0).replace("s-0", character.repeat(256)));
      String said = assertThrows(SettingsException.class, reader::endOfLine).getMessage();
      assertTrue(
          said.startsWith(
              "list: the key instances.0.instanceId is longer than 255 characters: " + "'"),
          said);
    }
  }

  /** An address that nobody could dial is none, and is not kept. */
  @Test
  void anAddressThatIsTooLongIsNone() throws Exception {
    EndpointListReader reader = reader(9);
    feed(
        reader,
        TestPeers.listing(
            1, true, TestPeers.instance("a", "1".repeat(900), "north", "in_service", 0)));
    assertNull(reader.endOfLine().endpoints().get(0).hostPort());
  }

  /** A value without end, needed or not, is no reason to hold more and more of it. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{\"x\":\"|1",
        "{\"generation\":\"|1",
        "{\"|1",
        "{\"generation\":1|1",
        "{\"x\":-|1",
        "{\"x\":0.|1",
        "{\"instances\":[{\"zone\":[1|,1",
        "{\"instances\":[{\"instanceId\":\"|\\u00e9",
        "{\"x\":|["
      })
  void aValueWithoutEndIsAFault(String head, String more) throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, head);
    byte[] piece = more.repeat(1000).getBytes(StandardCharsets.UTF_8);
    for (int k = 0; k < 60; k++) {
      reader.feed(ByteBuffer.wrap(piece));
    }
    assertTrue(reader.spoilt(), "60,000 characters came");
    assertThrows(SettingsException.class, reader::endOfLine);
    feed(reader, LIST);
    assertEquals(2, reader.endOfLine().endpoints().size());
  }

  @Test
  void aTextOfMoreCharactersThanTheLimitIsAFaultThatNamesIt() throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, LIST.replace("43", "\"" + "0".repeat(998) + "43\""));
    assertEquals(43, reader.endOfLine().generation());
    feed(reader, LIST.replace("43", "\"" + "0".repeat(999) + "43\""));
    String said = assertThrows(SettingsException.class, reader::endOfLine).getMessage();
    assertTrue(
        said.startsWith(
            "list: malformed JSON: String value length (1001) exceeds the maximum "
                + "allowed (1000"),
        said);
  }

  @Test
  void theLimitsFollowTheHeap() {
    EndpointListLimits small = EndpointListLimits.of(39L << 20);
    assertTrue(small.maxListed() >= 10_000 && small.maxListed() < 100_000, small.toString());
    assertTrue(small.maxTextLength() >= 64 << 10, small.toString());
    EndpointListLimits large = EndpointListLimits.of(10 * (39L << 20));
    assertTrue(Math.abs(large.maxListed() - 10 * small.maxListed()) <= 10, large.toString());
    assertTrue(EndpointListLimits.of(Long.MAX_VALUE).maxKnown() > 0, "as large as can be");
  }

  // What a list costs, counted in bytes that were allocated, not in time.

  private static long allocated() {
    return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
        .getThreadAllocatedBytes(Thread.currentThread().getId());
  }

  /** Ordinary lists leave little behind as they are read, and no one piece of it is large. */
  @Test
  void readingAllocatesUnderABoundPerServer() throws Exception {
    int servers = 9100;
    int zones = 98;
    Map<String, Integer> places = new HashMap<>();
    IntStream.range(0, zones).forEach(k -> places.put("zone-" + k, k));
    WireNames names =
        new WireNames(places, List.of(), Map.of(), new HashMap<>(Map.of("small", 0)), List.of());
    EndpointListReader reader = new EndpointListReader(names, EndpointListLimits.of(39L << 20));
    byte[] text =
        many(servers, 10)
            .replace("\"north\"", "\"zone-0\"")
            .replace("\"south\"", "\"zone-97\"")
            .getBytes(StandardCharsets.UTF_8);
    EndpointList got = null;
    long bytes = Long.MAX_VALUE;
    // Measured as the text passes by: the first round still loads classes.
    for (int round = 0; round < 2; round++) {
      long before = allocated();
      for (int from = 0; from < text.length; from += 16 << 10) {
        reader.feed(ByteBuffer.wrap(text, from, Math.min(16 << 10, text.length - from)));
      }
      got = reader.endOfLine();
      bytes = allocated() - before;
    }
    assertEquals(servers, got.endpoints().size());
    assertTrue(bytes < 2000L * servers, bytes / servers + " bytes a server were allocated");
  }

  /** Equal texts of zones, kinds and lifecycles are not kept: what a record holds is its own. */
  @Test
  void nothingOfTheTextIsKeptWithTheRecords() throws Exception {
    EndpointListReader reader = reader(20_000);
    String text = many(10_000, 10);
    System.gc();
    long before = live();
    feed(reader, text);
    EndpointList got = reader.endOfLine();
    System.gc();
    long kept = live() - before;
    assertEquals(10_000, got.endpoints().size());
    assertTrue(kept < 10_000 * 260L, kept / 10_000 + " bytes a server are kept");
  }

  private static long live() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
