package pearusher.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pearusher.store.StoreFixture.NO_FAULT;
import static pearusher.store.StoreFixture.SMALL_SEGMENTS;
import static pearusher.store.StoreFixture.STOP_AT_DAMAGE;
import static pearusher.store.StoreFixture.logs;
import static pearusher.store.StoreFixture.logsAndCheckpoints;
import static pearusher.store.StoreFixture.openExpectingRefusal;
import static pearusher.store.StoreFixture.sampleStore;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Damaged and truncated files. The store must not lose a confirmed batch without reporting it. */
class StoreDamageTest {
  /**
   * Truncates each file to each length. The store must open in an earlier state, or name the file
   * in its refusal.
   */
  @Test
  void truncatedFileIsRecoveredToAnEarlierStateOrRefused() throws IOException {
    for (boolean isClosed : new boolean[] {false, true}) {
      Workload workload = new Workload(2);
      SimDisk disk = sampleStore(workload, isClosed);
      workload.confirmed = 0;
      int refusedCount = 0;
      int recoveredCount = 0;
      for (String name : logsAndCheckpoints(disk)) {
        byte[] original = disk.bytes(name);
        for (int length = 0; length < original.length; length++) {
          try (Store store =
              Store.open(disk.withFile(name, Arrays.copyOf(original, length)), SMALL_SEGMENTS)) {
            assertEquals(
                NO_FAULT, workload.findFault(store.releaseRecovered()), name + " cut at " + length);
            recoveredCount++;
          } catch (StoreException e) {
            assertEquals(StoreException.Reason.DAMAGED, e.reason());
            assertTrue(
                e.getMessage().contains(name.startsWith("checkpoint") ? name : "log-"),
                e.getMessage());
            refusedCount++;
          }
        }
      }
      assertTrue(
          recoveredCount > 100 && refusedCount > 100,
          recoveredCount + " recovered, " + refusedCount + " refused");
    }
  }

  /**
   * Flips a bit in each byte of each file. The store must open in the last state, or refuse to
   * open.
   */
  @Test
  void flippedByteIsDetected() throws IOException {
    Workload workload = new Workload(3);
    SimDisk disk = sampleStore(workload, true);
    for (String name : logsAndCheckpoints(disk)) {
      byte[] original = disk.bytes(name);
      for (int position = 0; position < original.length; position++) {
        byte[] flipped = original.clone();
        flipped[position] ^= 0x10;
        try (Store store = Store.open(disk.withFile(name, flipped), SMALL_SEGMENTS)) {
          Store.Recovered recovered = store.releaseRecovered();
          assertTrue(
              recovered.sequence() == workload.lastSequence(),
              name
                  + " at "
                  + position
                  + " lost "
                  + (workload.lastSequence() - recovered.sequence())
                  + " records silently");
          assertEquals(NO_FAULT, workload.findFault(recovered), name + " flipped at " + position);
        } catch (StoreException e) {
          assertTrue(
              e.reason() == StoreException.Reason.DAMAGED
                  || e.reason() == StoreException.Reason.NEWER,
              e.getMessage());
        }
      }
    }
  }

  /**
   * Changes a value and its checksum, so that the store accepts the record. The workload must
   * detect the changed value: otherwise the other tests would not detect wrong values either.
   */
  @Test
  void changedValueWithAValidChecksumIsDetectedByTheWorkload() throws IOException {
    Workload workload = new Workload(3);
    SimDisk disk = sampleStore(workload, true);
    String log = logs(disk).get(logs(disk).size() - 1);
    byte[] bytes = disk.bytes(log);
    int offset = FilePreamble.LENGTH;
    LogRecord record = LogRecord.decodeAt(bytes, offset, 1).orElseThrow();
    while (record.payload().length == 0 || record.payload()[record.payload().length - 1] != 'x') {
      offset += record.length();
      record = LogRecord.decodeAt(bytes, offset, 1).orElseThrow();
    }
    // Change the last byte of a value; encoding computes the matching checksum.
    record.payload()[record.payload().length - 1] = 'y';
    ByteBuffer forged = ByteBuffer.allocate(record.length());
    record.encode(forged);
    System.arraycopy(forged.array(), 0, bytes, offset, record.length());
    String fault;
    try (Store store = Store.open(disk.withFile(log, bytes), SMALL_SEGMENTS)) {
      fault = workload.checkAndContinueFrom(store.releaseRecovered()).orElse("none");
    } catch (IOException e) {
      fault = e.getMessage();
    }
    assertTrue(fault.contains("unexpected state"), "the workload found: " + fault);
  }

  /** The store must continue from the last state before the damage, and report the loss. */
  @Test
  void stopOptionContinuesFromTheLastStateBeforeTheDamage() throws IOException {
    Workload workload = new Workload(4);
    SimDisk disk = sampleStore(workload, true);
    String log = logs(disk).get(0);
    byte[] bytes = disk.bytes(log);
    bytes[FilePreamble.LENGTH + LogRecord.HEADER_LENGTH + 3] ^= 1;
    SimDisk damaged = disk.withFile(log, bytes);
    assertTrue(
        openExpectingRefusal(damaged)
            .getMessage()
            .contains(log + " at byte " + FilePreamble.LENGTH + ": record "),
        openExpectingRefusal(damaged).getMessage());
    workload.confirmed = 0;
    int last;
    try (Store store = Store.open(damaged, STOP_AT_DAMAGE)) {
      Store.Recovered recovered = store.releaseRecovered();
      assertTrue(recovered.damage().contains("can't be read"), recovered.damage());
      assertTrue(recovered.sequence() < workload.lastSequence());
      assertEquals(NO_FAULT, workload.checkAndContinueFrom(recovered));
      workload.run(store, 4, true);
      last = workload.lastSequence();
    }
    // At the next start the store is undamaged and lacks the records after the damage.
    try (Store store = Store.open(damaged, SMALL_SEGMENTS)) {
      Store.Recovered recovered = store.releaseRecovered();
      assertEquals(last, recovered.sequence());
      assertEquals(NO_FAULT, workload.checkAndContinueFrom(recovered));
    }
  }
}
