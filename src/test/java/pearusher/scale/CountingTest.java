package pearusher.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Parsing and counting by the simulated processes. */
class CountingTest {
  private static final byte[] UPDATE =
      RespWriter.encode(
          "update",
          "classes",
          "c0+c11",
          "lines",
          "s-0000000a:0.0,s-0000ff01:1.25",
          "out",
          "s-00000003,s-00000004",
          "ticket",
          "905");

  /** Each message is parsed exactly once, at whichever byte the input is split. */
  @Test
  void parsesMessagesSplitAnywhere() {
    byte[] ping = RespWriter.encode("ping");
    byte[] two = ByteBuffer.allocate(UPDATE.length + ping.length).put(UPDATE).put(ping).array();
    for (int split = 0; split <= two.length; split++) {
      List<String> read = new ArrayList<>();
      RespScanner scanner = new RespScanner();
      scanner.feed(ByteBuffer.wrap(two, 0, split), view -> read.add(describe(view)));
      scanner.feed(
          ByteBuffer.wrap(two, split, two.length - split), view -> read.add(describe(view)));
      assertEquals(List.of("update 9 " + UPDATE.length, "ping 1 14"), read, "split at " + split);
    }
  }

  private static String describe(RespScanner.View view) {
    return view.text(0) + " " + view.fieldCount() + " " + view.sizeBytes();
  }

  @Test
  void readsWeightsServersAndClasses() {
    List<String> read = new ArrayList<>();
    new RespScanner()
        .feed(
            ByteBuffer.wrap(UPDATE),
            view -> {
              assertEquals(
                  1 | 1 << 11,
                  UpdateFieldReader.readClasses(
                      view, view.find(UpdateFieldReader.ascii("classes")).orElseThrow()));
              assertEquals(
                  2,
                  UpdateFieldReader.readWeights(
                      view,
                      view.find(UpdateFieldReader.ascii("lines")).orElseThrow(),
                      (server, isZero) -> read.add(server + " " + isZero)));
              assertEquals(
                  2,
                  UpdateFieldReader.readServers(
                      view,
                      view.find(UpdateFieldReader.ascii("out")).orElseThrow(),
                      server -> read.add("out " + server)));
              assertEquals(OptionalInt.empty(), view.find(UpdateFieldReader.ascii("more")));
            });
    assertEquals(List.of("10 true", "65281 false", "out 3", "out 4"), read);
  }

  @Test
  void drainEndsWhenTheLastProxyRemovesTheServer() {
    DrainTimer timer = new DrainTimer();
    BitSet proxies = new BitSet();
    proxies.set(0, 3);
    timer.start(7, proxies, 0);
    timer.recordRemoval(7, 1, 1_000_000);
    timer.recordRemoval(7, 1, 9_000_000);
    timer.removeProxy(0);
    assertFalse(timer.isIdle());
    timer.recheckTable(2, server -> false, 4_000_000);
    assertTrue(timer.isIdle());
    assertEquals(2, timer.perProxyUs().getTotalCount());
    assertEquals(4000.0, (double) timer.everywhereUs().getMaxValue(), 4.0);
  }

  @Test
  void liveHeapIsTheTotalOfTheClassHistogram() {
    assertEquals(
        OptionalLong.of(5637968),
        ProcessFigures.totalBytes(
            " num     #instances         #bytes  class name\n"
                + "   1:         22042        1466952  [B (java.base)\n"
                + "Total         81234        5637968\n"));
    assertEquals(OptionalLong.empty(), ProcessFigures.totalBytes("no such process"));
  }

  @Test
  void formatsFiguresWithoutExponent() {
    assertEquals("0.00001234", Report.format(0.00001234));
    assertEquals("123457", Report.format(123456.7));
    assertEquals("9100", Report.format(9100));
  }

  @Test
  void fullListOmitsTerminatedServers() {
    ServerCatalog catalog = new ServerCatalog(10, 4);
    catalog.setLifecycle(3, ServerCatalog.Lifecycle.TERMINATED);
    String list = new String(catalog.encodeFullList(), StandardCharsets.US_ASCII);
    assertEquals(9, list.split("instanceId", -1).length - 1);
    assertFalse(list.contains(ServerCatalog.serverName(3)));
    assertEquals(
        3, ServerCatalog.parseServerName(UpdateFieldReader.ascii(ServerCatalog.serverName(3)), 0));
  }
}
