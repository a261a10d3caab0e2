package pearusher.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the simulated side reads and counts. */
class CountingTest {
  private static final byte[] UPDATE =
      RespWriter.message(
          "update",
          "classes",
          "c0+c11",
          "lines",
          "s-0000000a:0.0,s-0000ff01:1.25",
          "out",
          "s-00000003,s-00000004",
          "ticket",
          "905");

  /** However a message is cut, it is read once and whole, with the next one behind it. */
  @Test
  void messagesAreReadWhereverTheyAreCut() {
    byte[] ping = RespWriter.message("ping");
    byte[] two = ByteBuffer.allocate(UPDATE.length + ping.length).put(UPDATE).put(ping).array();
    for (int cut = 0; cut <= two.length; cut++) {
      List<String> read = new ArrayList<>();
      RespScanner scanner = new RespScanner();
      scanner.take(ByteBuffer.wrap(two, 0, cut), view -> read.add(describe(view)));
      scanner.take(ByteBuffer.wrap(two, cut, two.length - cut), view -> read.add(describe(view)));
      assertEquals(List.of("update 9 " + UPDATE.length, "ping 1 14"), read, "cut at " + cut);
    }
  }

  private static String describe(RespScanner.View view) {
    return view.text(0) + " " + view.words() + " " + view.size();
  }

  @Test
  void linesNamesAndClassesAreReadWithoutStrings() {
    List<String> read = new ArrayList<>();
    new RespScanner()
        .take(
            ByteBuffer.wrap(UPDATE),
            view -> {
              assertEquals(
                  1 | 1 << 11,
                  UpdateFieldReader.classes(
                      view, view.value(UpdateFieldReader.bytes("classes")), 0));
              assertEquals(
                  2,
                  UpdateFieldReader.lines(
                      view,
                      view.value(UpdateFieldReader.bytes("lines")),
                      (server, zero) -> read.add(server + " " + zero)));
              assertEquals(
                  2,
                  UpdateFieldReader.names(
                      view,
                      view.value(UpdateFieldReader.bytes("out")),
                      server -> read.add("out " + server)));
              assertEquals(-1, view.value(UpdateFieldReader.bytes("more")));
            });
    assertEquals(List.of("10 true", "65281 false", "out 3", "out 4"), read);
  }

  @Test
  void aDrainIsInForceOnceTheLastHolderLetGo() {
    DrainTimer clock = new DrainTimer();
    BitSet holders = new BitSet();
    holders.set(0, 3);
    clock.start(7, holders, 0);
    clock.released(7, 1, 1_000_000);
    clock.released(7, 1, 9_000_000);
    clock.left(0);
    assertFalse(clock.idle());
    clock.recheck(2, server -> false, 4_000_000);
    assertTrue(clock.idle());
    assertEquals(2, clock.perProxyUs().getTotalCount());
    assertEquals(4000.0, (double) clock.everywhereUs().getMaxValue(), 4.0);
  }

  @Test
  void theLiveHeapIsTheHistogramsLastLine() {
    assertEquals(
        5637968,
        ProcessFigures.totalBytes(
            " num     #instances         #bytes  class name\n"
                + "   1:         22042        1466952  [B (java.base)\n"
                + "Total         81234        5637968\n"));
    assertEquals(-1, ProcessFigures.totalBytes("no such process"));
  }

  @Test
  void figuresArePrintedWithoutAnExponent() {
    assertEquals("0.00001234", Report.text(0.00001234));
    assertEquals("123457", Report.text(123456.7));
    assertEquals("9100", Report.text(9100));
  }

  /** The list's text is what an assigner reads, and grows with its servers alone. */
  @Test
  void theListNamesAllThatAreNotGone() {
    ServerCatalog catalog = new ServerCatalog(10, 4);
    catalog.set(3, ServerCatalog.Lifecycle.TERMINATED);
    String list = new String(catalog.whole(), StandardCharsets.US_ASCII);
    assertEquals(9, list.split("instanceId", -1).length - 1);
    assertFalse(list.contains(ServerCatalog.name(3)));
    assertEquals(3, ServerCatalog.number(UpdateFieldReader.bytes(ServerCatalog.name(3)), 0));
  }
}
