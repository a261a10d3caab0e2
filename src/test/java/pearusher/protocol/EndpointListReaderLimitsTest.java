package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pearusher.protocol.EndpointListFixture.LIST;
import static pearusher.protocol.EndpointListFixture.feed;
import static pearusher.protocol.EndpointListFixture.reader;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearusher.server.TestPeers;
import pearusher.sitesettings.SettingsException;

/**
 * Limits on the size of an endpoint list and on the memory that reading it takes. Guards against a
 * list of discovery that exhausts the heap of the assigner.
 */
class EndpointListReaderLimitsTest {
  private static String listWithServers(int servers, int idLength) {
    StringBuilder out = new StringBuilder();
    for (int k = 0; k < servers; k++) {
      String id = "s-" + k;
      out.append(k == 0 ? "" : ",")
          .append(
              TestPeers.endpointJson(
                  id + "x".repeat(Math.max(0, idLength - id.length())),
                  "10.1." + (k >> 8) + "." + (k & 255) + ":8080",
                  k % 2 == 0 ? "north" : "south",
                  "in_service",
                  1_700_000_000_000L + k));
    }
    return TestPeers.endpointListJson(43, true, out.toString());
  }

  @Test
  void listOverLimitIsRejectedImmediatelyAndNextListIsRead() throws Exception {
    EndpointListReader reader = reader(5);
    feed(reader, listWithServers(5, 0));
    assertEquals(5, reader.endOfLine().orElseThrow().endpoints().size());
    String sixServers = listWithServers(6, 0);
    EndpointListTooLongException rejection =
        assertThrows(
            EndpointListTooLongException.class,
            () -> feed(reader, sixServers.substring(0, sixServers.length() - 2)));
    assertEquals("over 5 servers: the heap of 40 MB holds no more", rejection.getMessage());
    feed(reader, listWithServers(5, 0));
    assertEquals(5, reader.endOfLine().orElseThrow().endpoints().size());
  }

  /** Servers of unknown zones are ignored, so they need no memory. */
  @Test
  void serversOfUnknownZonesDoNotCountTowardsLimit() throws Exception {
    EndpointListReader reader = reader(5);
    feed(
        reader,
        TestPeers.endpointListJson(
            1,
            true,
            listWithServers(5, 0)
                .replaceFirst(".*\"instances\":\\[", "")
                .replaceFirst("\\]\\}$", ""),
            TestPeers.endpointJson("e", "127.0.0.1:1", "east", "in_service", 0)));
    assertEquals(5, reader.endOfLine().orElseThrow().endpoints().size());
  }

  @Test
  void idOf255CharactersIsAcceptedAndLongerIdIsRejected() throws Exception {
    EndpointListReader reader = reader(9);
    for (String character : List.of("x", "é", "€", "😀")) {
      feed(reader, listWithServers(1, 0).replace("s-0", character.repeat(255)));
      assertEquals(
          character.repeat(255), reader.endOfLine().orElseThrow().endpoints().get(0).server());
      feed(reader, listWithServers(1, 0).replace("s-0", character.repeat(256)));
      String message = assertThrows(SettingsException.class, reader::endOfLine).getMessage();
      assertTrue(
          message.startsWith(
              "list: the key instances.0.instanceId is longer than 255 characters: " + "'"),
          message);
    }
  }

  /** An address that is too long to be valid is not stored. */
  @Test
  void overlongAddressIsIgnored() throws Exception {
    EndpointListReader reader = reader(9);
    feed(
        reader,
        TestPeers.endpointListJson(
            1, true, TestPeers.endpointJson("a", "1".repeat(900), "north", "in_service", 0)));
    assertNull(reader.endOfLine().orElseThrow().endpoints().get(0).hostPort());
  }

  /** A decoded or ignored value whose end never arrives must not be buffered without limit. */
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
  void unfinishedValueOverLimitIsRejected(String start, String continuation) throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, start);
    byte[] piece = continuation.repeat(1000).getBytes(StandardCharsets.UTF_8);
    for (int k = 0; k < 60; k++) {
      reader.feed(ByteBuffer.wrap(piece));
    }
    assertTrue(reader.hasFault(), "after 60,000 characters");
    assertThrows(SettingsException.class, reader::endOfLine);
    feed(reader, LIST);
    assertEquals(2, reader.endOfLine().orElseThrow().endpoints().size());
  }

  @Test
  void textOverLimitIsRejectedWithLimitInMessage() throws Exception {
    EndpointListReader reader = reader(9);
    feed(reader, LIST.replace("43", "\"" + "0".repeat(998) + "43\""));
    assertEquals(43, reader.endOfLine().orElseThrow().generation());
    feed(reader, LIST.replace("43", "\"" + "0".repeat(999) + "43\""));
    String message = assertThrows(SettingsException.class, reader::endOfLine).getMessage();
    assertTrue(
        message.startsWith(
            "list: malformed JSON: String value length (1001) exceeds the maximum "
                + "allowed (1000"),
        message);
  }

  @Test
  void limitsScaleWithHeapSize() {
    EndpointListLimits small = EndpointListLimits.of(39L << 20);
    assertTrue(small.maxListed() >= 10_000 && small.maxListed() < 100_000, small.toString());
    assertTrue(small.maxTextLength() >= 64 << 10, small.toString());
    EndpointListLimits large = EndpointListLimits.of(10 * (39L << 20));
    assertTrue(Math.abs(large.maxListed() - 10 * small.maxListed()) <= 10, large.toString());
    assertTrue(EndpointListLimits.of(Long.MAX_VALUE).maxKnown() > 0, "for the largest heap size");
  }

  /** Returns the bytes that this thread has allocated so far. */
  private static long allocatedBytes() {
    return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
        .getThreadAllocatedBytes(Thread.currentThread().getId());
  }

  /** Reading a list of ordinary size allocates under 2000 bytes per server. */
  @Test
  void allocationPerServerIsBounded() throws Exception {
    int servers = 9100;
    int zones = 98;
    Map<String, Integer> zoneIndexes = new HashMap<>();
    IntStream.range(0, zones).forEach(k -> zoneIndexes.put("zone-" + k, k));
    WireNames names =
        new WireNames(
            zoneIndexes, List.of(), Map.of(), new HashMap<>(Map.of("small", 0)), List.of());
    EndpointListReader reader = new EndpointListReader(names, EndpointListLimits.of(39L << 20));
    byte[] text =
        listWithServers(servers, 10)
            .replace("\"north\"", "\"zone-0\"")
            .replace("\"south\"", "\"zone-97\"")
            .getBytes(StandardCharsets.UTF_8);
    EndpointList list = null;
    long bytes = Long.MAX_VALUE;
    // The first round also loads classes, so only the second one is measured.
    for (int round = 0; round < 2; round++) {
      long before = allocatedBytes();
      for (int from = 0; from < text.length; from += 16 << 10) {
        reader.feed(ByteBuffer.wrap(text, from, Math.min(16 << 10, text.length - from)));
      }
      list = reader.endOfLine().orElseThrow();
      bytes = allocatedBytes() - before;
    }
    assertEquals(servers, list.endpoints().size());
    assertTrue(bytes < 2000L * servers, bytes / servers + " bytes allocated per server");
  }

  /** The decoded records must retain no text of the list beyond their own fields. */
  @Test
  void retainedMemoryPerServerIsBounded() throws Exception {
    EndpointListReader reader = reader(20_000);
    String text = listWithServers(10_000, 10);
    System.gc();
    long before = liveBytes();
    feed(reader, text);
    EndpointList list = reader.endOfLine().orElseThrow();
    System.gc();
    long retained = liveBytes() - before;
    assertEquals(10_000, list.endpoints().size());
    assertTrue(retained < 10_000 * 260L, retained / 10_000 + " bytes retained per server");
  }

  private static long liveBytes() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
