package pearusher.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the store promises, apart from power cuts: those are in PowerCutTest. */
class StoreTest {
  private static final StoreOptions SMALL =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 300, 1, 2, StoreOptions.Damage.REFUSE);
  private static final StoreOptions STOPPING =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 300, 1, 2, StoreOptions.Damage.STOP);

  private static StoreException refused(Disk disk) {
    return assertThrows(StoreException.class, () -> Store.open(disk, SMALL).close());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** A directory with a checkpoint and several logs, in an orderly end or not. */
  private static SimDisk sample(Workload work, boolean close) throws IOException {
    SimDisk disk = new SimDisk();
    Store store =
        Store.open(
            disk,
            new StoreOptions(StoreOptions.Policy.EACH, 0, 900, 1, 2, StoreOptions.Damage.REFUSE));
    work.run(store, 24, true);
    work.run(store, 24, false);
    work.sync(store);
    if (close) {
      store.close();
    }
    return disk;
  }

  /** The logs and checkpoints; the space that is kept back holds nothing. */
  private static List<String> files(SimDisk disk) {
    return disk.list().stream().filter(n -> !n.equals("reserve")).toList();
  }

  @Test
  void whatWasAppendedIsThereAgain() throws IOException {
    Workload work = new Workload(1);
    SimDisk disk = sample(work, true);
    try (Store store = Store.open(disk, SMALL)) {
      Store.Recovered found = store.takeRecovered();
      assertTrue(found.wasClosed());
      assertEquals(work.last(), found.sequence());
      assertNull(work.check(found));
      work.run(store, 3, false);
    }
    try (Store store = Store.open(disk, SMALL)) {
      assertNull(work.check(store.takeRecovered()));
    }
  }

  /** Each file of a sample cut at each byte: an earlier state, whole, or a refusal by name. */
  @Test
  void everyCutGivesAnEarlierStateOrIsRefused() throws IOException {
    for (boolean close : new boolean[] {false, true}) {
      Workload made = new Workload(2);
      SimDisk disk = sample(made, close);
      made.confirmed = 0;
      int refusals = 0;
      int earlier = 0;
      for (String name : files(disk)) {
        byte[] whole = disk.bytes(name);
        for (int length = 0; length < whole.length; length++) {
          try (Store store =
              Store.open(disk.with(name, java.util.Arrays.copyOf(whole, length)), SMALL)) {
            assertNull(made.wrong(store.takeRecovered()), name + " cut at " + length);
            earlier++;
          } catch (StoreException e) {
            assertEquals(StoreException.Reason.DAMAGED, e.reason());
            assertTrue(
                e.getMessage().contains(name.startsWith("checkpoint") ? name : "log-"),
                e.getMessage());
            refusals++;
          }
        }
      }
      assertTrue(earlier > 100 && refusals > 100, earlier + " earlier, " + refusals + " refused");
    }
  }

  /**
   * One byte flipped at each place: what was confirmed is lost by a refusal only, never silently.
   */
  @Test
  void noFlippedByteIsPassedOver() throws IOException {
    Workload made = new Workload(3);
    SimDisk disk = sample(made, true);
    for (String name : files(disk)) {
      byte[] whole = disk.bytes(name);
      for (int at = 0; at < whole.length; at++) {
        byte[] flipped = whole.clone();
        flipped[at] ^= 0x10;
        try (Store store = Store.open(disk.with(name, flipped), SMALL)) {
          Store.Recovered found = store.takeRecovered();
          assertTrue(
              found.sequence() == made.last(),
              name
                  + " at "
                  + at
                  + " lost "
                  + (made.last() - found.sequence())
                  + " records silently");
          assertNull(made.wrong(found), name + " flipped at " + at);
        } catch (StoreException e) {
          assertTrue(
              e.reason() == StoreException.Reason.DAMAGED
                  || e.reason() == StoreException.Reason.NEWER,
              e.getMessage());
        }
      }
    }
  }

  /** The checksum is what tells: with it forged along, the checker must find the wrong value. */
  @Test
  void withoutTheChecksumAFlippedByteIsFoundByTheChecker() throws IOException {
    Workload work = new Workload(3);
    SimDisk disk = sample(work, true);
    String log =
        disk.list().stream().filter(n -> n.startsWith("log-")).reduce((a, b) -> b).orElseThrow();
    byte[] bytes = disk.bytes(log);
    int from = FilePreamble.LENGTH;
    LogRecord frame = LogRecord.decodeAt(bytes, from, 1).orElseThrow();
    while (frame.payload().length == 0 || frame.payload()[frame.payload().length - 1] != 'x') {
      from += frame.length();
      frame = LogRecord.decodeAt(bytes, from, 1).orElseThrow();
    }
    // The last byte of a value; then the checksum that belongs to it.
    frame.payload()[frame.payload().length - 1] = 'y';
    ByteBuffer forged = ByteBuffer.allocate(frame.length());
    frame.encode(forged);
    System.arraycopy(forged.array(), 0, bytes, from, frame.length());
    String found;
    try (Store store = Store.open(disk.with(log, bytes), SMALL)) {
      found = work.check(store.takeRecovered());
    } catch (IOException e) {
      found = e.getMessage();
    }
    assertTrue(found != null && found.contains("it holds"), "the checker saw nothing: " + found);
  }

  /**
   * Damage in the middle, and the operator asks to go on: the last state before it, and how much is
   * lost.
   */
  @Test
  void damageStopsAtTheLastConsistentStateWhereThatIsAsked() throws IOException {
    Workload work = new Workload(4);
    SimDisk disk = sample(work, true);
    String log = disk.list().stream().filter(n -> n.startsWith("log-")).findFirst().orElseThrow();
    byte[] bytes = disk.bytes(log);
    bytes[FilePreamble.LENGTH + LogRecord.HEADER_LENGTH + 3] ^= 1;
    SimDisk hurt = disk.with(log, bytes);
    assertTrue(
        refused(hurt).getMessage().contains(log + " at byte " + FilePreamble.LENGTH + ": record "),
        refused(hurt).getMessage());
    work.confirmed = 0;
    int last;
    try (Store store = Store.open(hurt, STOPPING)) {
      Store.Recovered found = store.takeRecovered();
      assertTrue(found.damage().contains("can't be read"), found.damage());
      assertTrue(found.sequence() < work.last());
      assertNull(work.check(found));
      work.run(store, 4, true);
      last = work.last();
    }
    // What was given up stays so: the next start finds a whole store, with nothing of the old rest.
    try (Store store = Store.open(hurt, SMALL)) {
      Store.Recovered found = store.takeRecovered();
      assertEquals(last, found.sequence());
      assertNull(work.check(found));
    }
  }

  @Test
  void aSyncThatFailedIsFinal() throws IOException {
    SimDisk disk = new SimDisk();
    Store store = Store.open(disk, SMALL);
    Workload work = new Workload(5);
    work.append(store);
    work.sync(store);
    work.append(store);
    // The write comes first, then the sync that fails, once.
    disk.failAt = disk.calls + 1;
    StoreException first = assertThrows(StoreException.class, store::sync);
    assertEquals(StoreException.Reason.FAILED, first.reason());
    assertTrue(first.getMessage().contains("input/output error in sync"), first.getMessage());
    assertThrows(StoreException.class, () -> store.append(new WriteBatch()));
    assertThrows(StoreException.class, store::sync);
    int before = disk.calls;
    store.close();
    assertEquals(before, disk.calls, "a store that failed writes no more");
    disk.kill();
    try (Store again = Store.open(disk.afterPowerCut(new java.util.Random(1)), SMALL)) {
      assertNull(work.check(again.takeRecovered()));
    }
  }

  /** Appends fail on a full disk; a compaction has the space that was kept back for it. */
  @Test
  void aFullDiskCanStillBeCompacted() throws IOException {
    SimDisk disk = new SimDisk();
    Store store = Store.open(disk, SMALL);
    Workload work = new Workload(6);
    work.run(store, 30, true);
    work.sync(store);
    disk.room = disk.size() + 150;
    assertThrows(
        StoreException.class,
        () -> {
          for (int k = 0; k < 100; k++) {
            work.append(store);
            work.sync(store);
          }
        });
    store.close();
    long full = disk.size();
    // Not one byte more than it takes now, and the new log's preamble.
    disk.room = full + 2 * FilePreamble.LENGTH;
    Store again = Store.open(disk, SMALL);
    assertNull(work.check(again.takeRecovered()));
    again.compact(again.seal());
    assertTrue(disk.size() < full, disk.size() + " of " + full);
    disk.room = Long.MAX_VALUE;
    work.run(again, 3, false);
    again.close();
    try (Store third = Store.open(disk, SMALL)) {
      assertNull(work.check(third.takeRecovered()));
    }
  }

  /** A compaction that fails at each of its calls leaves a store that goes on and starts again. */
  @Test
  void aCompactionThatFailsCostsNothing() throws IOException {
    for (int call = 0; call < 14; call++) {
      SimDisk disk = new SimDisk();
      Store store = Store.open(disk, SMALL);
      Workload work = new Workload(7);
      work.run(store, 20, true);
      Store.Sealed sealed = store.seal();
      disk.failAt = disk.calls + call;
      try {
        store.compact(sealed);
      } catch (IOException e) {
        assertTrue(e.getMessage().contains("input/output error"), e.getMessage());
      }
      disk.failAt = -1;
      work.run(store, 12, true);
      work.sync(store);
      disk.kill();
      try (Store again = Store.open(disk, SMALL)) {
        assertNull(work.check(again.takeRecovered()), "call " + call);
      }
    }
  }

  @Test
  void theDirectoryIsTakenOnce(@TempDir Path dir) throws IOException {
    FileDisk disk = new FileDisk(dir);
    try (Store store = Store.open(disk, SMALL)) {
      store.append(new WriteBatch().put("a", bytes("1")));
      assertEquals(1, store.sync());
      StoreException second = refused(new FileDisk(dir));
      assertEquals(StoreException.Reason.LOCKED, second.reason());
      assertTrue(
          second.getMessage().contains(dir + " is in use by another process"), second.getMessage());
    }
    try (Store store = Store.open(disk, SMALL)) {
      assertEquals(Map.of("a", "1"), Workload.text(store.takeRecovered().state()));
    }
  }

  private static FilePreamble preambleOfNewerFormat() {
    int logKind = FilePreamble.of(FilePreamble.Kind.LOG, 5, 1).kindCode();
    return new FilePreamble(FilePreamble.FORMAT + 1, logKind, 5, 1);
  }

  @Test
  void aNewerFormatAMissingAndAnEmptyDirectory(@TempDir Path dir) throws IOException {
    Files.write(dir.resolve(StoreFiles.log(7)), preambleOfNewerFormat().encode());
    StoreException newer = refused(new FileDisk(dir));
    assertEquals(StoreException.Reason.NEWER, newer.reason());
    assertTrue(
        newer.getMessage().contains("has format 2, this program knows up to 1"),
        newer.getMessage());
    StoreException missing = refused(new FileDisk(dir.resolve("none")));
    assertEquals(StoreException.Reason.ABSENT, missing.reason());
    FileDisk made = new FileDisk(dir.resolve("new").resolve("deep"));
    made.createDirectory();
    try (Store store = Store.open(made, SMALL)) {
      assertEquals(0, store.takeRecovered().sequence());
    }
    Path file = Files.createFile(dir.resolve("file"));
    assertEquals(StoreException.Reason.ABSENT, refused(new FileDisk(file)).reason());
  }

  @Test
  void filesOfTwoStoresAreNotMixed() throws IOException {
    SimDisk disk = sample(new Workload(8), true);
    String log = disk.list().stream().filter(n -> n.startsWith("log-")).findFirst().orElseThrow();
    byte[] bytes = disk.bytes(log);
    System.arraycopy(
        FilePreamble.of(FilePreamble.Kind.LOG, 99, 1).encode(), 0, bytes, 0, FilePreamble.LENGTH);
    assertTrue(refused(disk.with(log, bytes)).getMessage().contains("belongs to another store"));
  }

  @Test
  void aCopyOfAnOpenStoreIsMarkedAndStartsOnItsOwn(@TempDir Path dir) throws IOException {
    FileDisk live = new FileDisk(dir.resolve("live"));
    FileDisk copy = new FileDisk(dir.resolve("copy"));
    live.createDirectory();
    copy.createDirectory();
    Workload work = new Workload(9);
    try (Store store = Store.open(live, SMALL)) {
      work.run(store, 30, true);
      work.sync(store);
      long last = StoreCopy.write(live, copy);
      assertEquals(work.last(), last);
      assertThrows(StoreException.class, () -> StoreCopy.write(live, copy), "not empty");
    }
    try (Store store = Store.open(copy, SMALL)) {
      Store.Recovered found = store.takeRecovered();
      assertTrue(found.state().remove(StoreCopy.MARKER_KEY) != null);
      assertNull(work.check(found));
    }
  }

  /** Keys that come and go: after a compaction the directory is as small as it was. */
  @Test
  void aStoreReturnsToItsFirstSize() throws IOException {
    SimDisk disk = new SimDisk();
    Store store =
        Store.open(
            disk,
            new StoreOptions(
                StoreOptions.Policy.EACH, 0, 1 << 16, 1 << 16, 2, StoreOptions.Damage.REFUSE));
    long first = 0;
    for (int round = 0; round < 5; round++) {
      for (int k = 0; k < 3000; k++) {
        store.append(new WriteBatch().put("server/" + round + "/" + k, bytes("weight " + k)));
      }
      store.sync();
      for (int k = 0; k < 3000; k++) {
        store.append(new WriteBatch().delete("server/" + round + "/" + k));
      }
      assertTrue(store.needsCompaction());
      store.compact(store.seal());
      first = round == 0 ? disk.size() : first;
      assertEquals(first, disk.size());
    }
    assertTrue(disk.size() < 140_000, "" + disk.size());
    store.close();
  }

  /** What a killed process wrote and never synced is taken over, and must be synced for that. */
  @Test
  void aKillAndThenAPowerCutLeaveNoGap() throws IOException {
    for (boolean defended : new boolean[] {true, false}) {
      SimDisk disk = defended ? new SimDisk() : new SimDisk(SimDisk.Lie.SYNC_LEFT);
      Workload work = new Workload(10);
      Store store = Store.open(disk, SMALL);
      work.append(store);
      work.sync(store);
      work.append(store);
      store.write();
      disk.kill();
      Store second = Store.open(disk, SMALL);
      assertNull(work.check(second.takeRecovered()));
      boolean gap = false;
      for (long seed = 0; seed < 20; seed++) {
        try (Store third = Store.open(disk.afterPowerCut(new java.util.Random(seed)), SMALL)) {
          third.takeRecovered();
        } catch (StoreException e) {
          gap = true;
        }
      }
      assertEquals(!defended, gap);
    }
  }

  @Test
  void aBatchIsReadOnlyAsFarAsItsBytesGo() throws IOException {
    byte[] good = new WriteBatch().put("a", bytes("b")).delete("c").encode();
    assertEquals(List.of("a", "c"), List.copyOf(WriteBatch.decode(good).changes().keySet()));
    for (int length = 0; length < good.length; length++) {
      byte[] cut = java.util.Arrays.copyOf(good, length);
      assertThrows(IOException.class, () -> WriteBatch.decode(cut));
    }
    byte[] long1 = good.clone();
    ByteBuffer.wrap(long1).putInt(7, Integer.MAX_VALUE);
    assertThrows(IOException.class, () -> WriteBatch.decode(long1));
  }
}
