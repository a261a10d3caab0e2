package pearusher.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pearusher.store.StoreFixture.NO_FAULT;
import static pearusher.store.StoreFixture.SMALL_SEGMENTS;
import static pearusher.store.StoreFixture.logs;
import static pearusher.store.StoreFixture.openExpectingRefusal;
import static pearusher.store.StoreFixture.sampleStore;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Opening, appending, compaction, copies, disk failures and kills, without damaged files. */
class StoreTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void appendedBatchesAreRecovered() throws IOException {
    Workload workload = new Workload(1);
    SimDisk disk = sampleStore(workload, true);
    try (Store store = Store.open(disk, SMALL_SEGMENTS)) {
      Store.Recovered recovered = store.releaseRecovered();
      assertTrue(recovered.wasClosed());
      assertEquals(workload.lastSequence(), recovered.sequence());
      assertEquals(NO_FAULT, workload.checkAndContinueFrom(recovered));
      workload.run(store, 3, false);
    }
    try (Store store = Store.open(disk, SMALL_SEGMENTS)) {
      assertEquals(NO_FAULT, workload.checkAndContinueFrom(store.releaseRecovered()));
    }
  }

  @Test
  void noBatchIsAcceptedAfterAFailedSync() throws IOException {
    SimDisk disk = new SimDisk();
    Store store = Store.open(disk, SMALL_SEGMENTS);
    Workload workload = new Workload(5);
    workload.append(store);
    workload.sync(store);
    workload.append(store);
    // The next call is the write. The call after it is the sync, which fails once.
    disk.failAtCall = disk.callCount + 1;
    StoreException first = assertThrows(StoreException.class, store::sync);
    assertEquals(StoreException.Reason.FAILED, first.reason());
    assertTrue(first.getMessage().contains("input/output error in sync"), first.getMessage());
    assertThrows(StoreException.class, () -> store.append(new WriteBatch()));
    assertThrows(StoreException.class, store::sync);
    int before = disk.callCount;
    store.close();
    assertEquals(before, disk.callCount, "a store that failed writes no more");
    disk.kill();
    try (Store reopened = Store.open(disk.afterPowerCut(new Random(1)), SMALL_SEGMENTS)) {
      assertEquals(NO_FAULT, workload.checkAndContinueFrom(reopened.releaseRecovered()));
    }
  }

  /** On a full disk appends fail, but a compaction must succeed by using the reserve. */
  @Test
  void fullDiskCanBeCompacted() throws IOException {
    SimDisk disk = new SimDisk();
    Store store = Store.open(disk, SMALL_SEGMENTS);
    Workload workload = new Workload(6);
    workload.run(store, 30, true);
    workload.sync(store);
    disk.capacityBytes = disk.size() + 150;
    assertThrows(
        StoreException.class,
        () -> {
          for (int k = 0; k < 100; k++) {
            workload.append(store);
            workload.sync(store);
          }
        });
    store.close();
    long fullBytes = disk.size();
    // Exactly the space for the preambles of two new logs.
    disk.capacityBytes = fullBytes + 2 * FilePreamble.LENGTH;
    Store reopened = Store.open(disk, SMALL_SEGMENTS);
    assertEquals(NO_FAULT, workload.checkAndContinueFrom(reopened.releaseRecovered()));
    reopened.compact(reopened.seal());
    assertTrue(disk.size() < fullBytes, disk.size() + " of " + fullBytes);
    disk.capacityBytes = Long.MAX_VALUE;
    workload.run(reopened, 3, false);
    reopened.close();
    try (Store third = Store.open(disk, SMALL_SEGMENTS)) {
      assertEquals(NO_FAULT, workload.checkAndContinueFrom(third.releaseRecovered()));
    }
  }

  /** A compaction fails at each of its disk calls in turn. No batch may be lost. */
  @Test
  void failedCompactionLeavesTheStoreUsable() throws IOException {
    for (int call = 0; call < 14; call++) {
      SimDisk disk = new SimDisk();
      Store store = Store.open(disk, SMALL_SEGMENTS);
      Workload workload = new Workload(7);
      workload.run(store, 20, true);
      Store.SealedLogs sealed = store.seal();
      disk.failAtCall = disk.callCount + call;
      try {
        store.compact(sealed);
      } catch (IOException e) {
        assertTrue(e.getMessage().contains("input/output error"), e.getMessage());
      }
      disk.failAtCall = -1;
      workload.run(store, 12, true);
      workload.sync(store);
      disk.kill();
      try (Store reopened = Store.open(disk, SMALL_SEGMENTS)) {
        assertEquals(
            NO_FAULT, workload.checkAndContinueFrom(reopened.releaseRecovered()), "call " + call);
      }
    }
  }

  @Test
  void directoryInUseIsRefused(@TempDir Path dir) throws IOException {
    FileDisk disk = new FileDisk(dir);
    try (Store store = Store.open(disk, SMALL_SEGMENTS)) {
      store.append(new WriteBatch().put("a", bytes("1")));
      assertEquals(1, store.sync());
      StoreException second = openExpectingRefusal(new FileDisk(dir));
      assertEquals(StoreException.Reason.LOCKED, second.reason());
      assertTrue(
          second.getMessage().contains(dir + " is in use by another process"), second.getMessage());
    }
    try (Store store = Store.open(disk, SMALL_SEGMENTS)) {
      assertEquals(Map.of("a", "1"), Workload.asText(store.releaseRecovered().state()));
    }
  }

  private static FilePreamble preambleOfNewerFormat() {
    int logKind = FilePreamble.of(FilePreamble.Kind.LOG, 5, 1).kindCode();
    return new FilePreamble(FilePreamble.FORMAT + 1, logKind, 5, 1);
  }

  @Test
  void newerFormatAndMissingDirectoryAreRefusedAndANewDirectoryIsEmpty(@TempDir Path dir)
      throws IOException {
    Files.write(dir.resolve(StoreFiles.logName(7)), preambleOfNewerFormat().encode());
    StoreException newer = openExpectingRefusal(new FileDisk(dir));
    assertEquals(StoreException.Reason.NEWER, newer.reason());
    assertTrue(
        newer.getMessage().contains("has format 2, but this version reads formats up to 1"),
        newer.getMessage());
    StoreException missing = openExpectingRefusal(new FileDisk(dir.resolve("none")));
    assertEquals(StoreException.Reason.ABSENT, missing.reason());
    FileDisk created = new FileDisk(dir.resolve("new").resolve("deep"));
    created.createDirectory();
    try (Store store = Store.open(created, SMALL_SEGMENTS)) {
      assertEquals(0, store.releaseRecovered().sequence());
    }
    Path file = Files.createFile(dir.resolve("file"));
    assertEquals(StoreException.Reason.ABSENT, openExpectingRefusal(new FileDisk(file)).reason());
  }

  @Test
  void filesOfTwoStoresAreRefused() throws IOException {
    SimDisk disk = sampleStore(new Workload(8), true);
    String log = logs(disk).get(0);
    byte[] bytes = disk.bytes(log);
    System.arraycopy(
        FilePreamble.of(FilePreamble.Kind.LOG, 99, 1).encode(), 0, bytes, 0, FilePreamble.LENGTH);
    assertTrue(
        openExpectingRefusal(disk.withFile(log, bytes))
            .getMessage()
            .contains("belongs to another store"));
  }

  @Test
  void copyOfAnOpenStoreIsMarkedAndCanBeOpened(@TempDir Path dir) throws IOException {
    FileDisk live = new FileDisk(dir.resolve("live"));
    FileDisk copy = new FileDisk(dir.resolve("copy"));
    live.createDirectory();
    copy.createDirectory();
    Workload workload = new Workload(9);
    try (Store store = Store.open(live, SMALL_SEGMENTS)) {
      workload.run(store, 30, true);
      workload.sync(store);
      long last = StoreCopy.write(live, copy);
      assertEquals(workload.lastSequence(), last);
      assertThrows(StoreException.class, () -> StoreCopy.write(live, copy), "not empty");
    }
    try (Store store = Store.open(copy, SMALL_SEGMENTS)) {
      Store.Recovered recovered = store.releaseRecovered();
      assertTrue(recovered.state().remove(StoreCopy.MARKER_KEY) != null);
      assertEquals(NO_FAULT, workload.checkAndContinueFrom(recovered));
    }
  }

  /**
   * Deleted keys must not occupy space after a compaction, or the store would grow without bound.
   */
  @Test
  void compactionReclaimsTheSpaceOfDeletedKeys() throws IOException {
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

  /**
   * A start recovers records that a killed process wrote without a sync. Unless the start syncs
   * them, a power cut can lose them, and the log of that start then follows a gap.
   */
  @Test
  void powerCutAfterAKillLeavesNoGap() throws IOException {
    for (boolean isSynced : new boolean[] {true, false}) {
      SimDisk disk = isSynced ? new SimDisk() : new SimDisk(SimDisk.SkippedSync.RECOVERED_FILE);
      Workload workload = new Workload(10);
      Store store = Store.open(disk, SMALL_SEGMENTS);
      workload.append(store);
      workload.sync(store);
      workload.append(store);
      store.write();
      disk.kill();
      Store second = Store.open(disk, SMALL_SEGMENTS);
      assertEquals(NO_FAULT, workload.checkAndContinueFrom(second.releaseRecovered()));
      boolean isGapFound = false;
      for (long seed = 0; seed < 20; seed++) {
        try (Store third = Store.open(disk.afterPowerCut(new Random(seed)), SMALL_SEGMENTS)) {
          third.releaseRecovered();
        } catch (StoreException e) {
          isGapFound = true;
        }
      }
      assertEquals(!isSynced, isGapFound);
    }
  }

  @Test
  void truncatedOrOverlongBatchIsRefused() throws IOException {
    byte[] encoded = new WriteBatch().put("a", bytes("b")).delete("c").encode();
    assertEquals(List.of("a", "c"), List.copyOf(WriteBatch.decode(encoded).changes().keySet()));
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThrows(IOException.class, () -> WriteBatch.decode(truncated));
    }
    byte[] withLongValue = encoded.clone();
    ByteBuffer.wrap(withLongValue).putInt(7, Integer.MAX_VALUE);
    assertThrows(IOException.class, () -> WriteBatch.decode(withLongValue));
  }
}
