package pearusher.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Strict decoding of updates and the faults that a run of two builds reports. */
class MixedFleetTest {
  private static final int CLASSES = 2;

  private static UpdateMessage decode(String words) throws Exception {
    List<Object> results = new ArrayList<>();
    new RespScanner()
        .feed(
            ByteBuffer.wrap(RespWriter.encodeWords(words)),
            view -> {
              try {
                results.add(UpdateMessage.decode(view, CLASSES));
              } catch (UpdateMessage.UndecodableException e) {
                results.add(e);
              }
            });
    if (results.get(0) instanceof UpdateMessage.UndecodableException cause) {
      throw cause;
    }
    return (UpdateMessage) results.get(0);
  }

  @Test
  void decodesEachFieldOfAnUpdate() throws Exception {
    assertEquals(
        new UpdateMessage(2, true, true, Optional.empty(), false),
        decode("update classes c1 whole 1 lines s-0000000a:0.25,s-0000000b:0 more 1"));
    assertEquals(
        new UpdateMessage(3, false, false, Optional.of("17"), true),
        decode("update level 0.5 retry 2 out s-0000000a back s-0000000b,s-0000000c ticket 17"));
  }

  @Test
  void rejectsUpdatesThatDeviateFromTheProtocol() {
    for (String words :
        List.of(
            "pong",
            "updated ticket 1",
            "update ticket",
            "update weights s-0000000a:1",
            "update ticket 1 ticket 2",
            "update classes c2",
            "update classes c0+",
            "update whole yes",
            "update lines s-0000000a",
            "update lines s-0000000a:1,",
            "update lines s-0000000a:1e-5",
            "update out s-a",
            "update level 0.5",
            "update retry 1",
            "update ticket -1")) {
      assertThrows(UpdateMessage.UndecodableException.class, () -> decode(words), words);
    }
  }

  /** A stream needs one complete table for each class. Weight changes are valid only after it. */
  @Test
  void countsTheSecondCompleteTableAsUnneeded() {
    StreamTables tables = new StreamTables(CLASSES);
    assertFalse(tables.expectsWeights(1));
    assertTrue(tables.recordCompleteTable(1));
    assertTrue(tables.expectsWeights(1));
    assertFalse(tables.expectsWeights(3));
    assertFalse(tables.isBound());
    assertTrue(tables.recordCompleteTable(2));
    assertTrue(tables.isBound());
    assertFalse(tables.recordCompleteTable(3));
  }

  private static Report report(String otherBuild, int unneeded, int dropLines, int probeLines) {
    Report report = new Report();
    for (String build : List.of("old", otherBuild)) {
      report.add(build + "." + MixedRun.UNDECODABLE, 0, "1");
      report.add(build + "." + MixedRun.UNEXPECTED, 0, "1");
      report.add(build + "." + MixedRun.DROP_LINES, dropLines, "1");
      report.add(build + "." + MixedRun.PROBE_LINES, probeLines, "1");
      report.add(build + "." + MixedRun.UNNEEDED, unneeded, "1");
    }
    return report;
  }

  @Test
  void reportsFaultsOfMixedAndUnmixedRun() {
    Report clean = report("old_beside", 0, 0, DropProbe.LINES);
    assertEquals(List.of(), MixedBench.faults(report("new", 0, 0, DropProbe.LINES), clean));
    assertEquals(1, MixedBench.faults(report("new", 1, 0, DropProbe.LINES), clean).size());
    assertEquals(2, MixedBench.faults(report("new", 0, 1, DropProbe.LINES), clean).size());
    assertEquals(2, MixedBench.faults(report("new", 0, 0, 0), clean).size());
    Report unmixed = report("old_beside", 1, 0, DropProbe.LINES);
    assertEquals(List.of(), MixedBench.faults(report("new", 1, 0, DropProbe.LINES), unmixed));
  }
}
