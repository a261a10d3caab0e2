package pearusher.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Recovery after a power failure before any disk call. A random subset of the unsynced sectors and
 * file names survives, so a missing or misplaced sync loses confirmed batches or makes the files
 * inconsistent.
 */
class PowerCutTest {
  private static final StoreOptions SMALL_SEGMENTS =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 200, 1, 2, StoreOptions.Damage.REFUSE);

  /**
   * Runs a workload with power cuts between restarts, and returns the first fault; empty if there
   * is none.
   */
  private static Optional<String> faultAfterPowerCuts(
      long seed, int cutAtCall, long survivorSeed, int rounds, SimDisk.SkippedSync... skippedSyncs)
      throws IOException {
    Workload workload = new Workload(seed);
    SimDisk disk = new SimDisk(skippedSyncs);
    Random random = new Random(survivorSeed);
    for (int round = 0; round <= rounds; round++) {
      disk.powerCutAtCall = round < rounds ? cutAtCall : -1;
      try {
        Store store = Store.open(disk, SMALL_SEGMENTS);
        Optional<String> fault = workload.checkAndContinueFrom(store.releaseRecovered());
        if (fault.isPresent()) {
          return Optional.of("round " + round + ": " + fault.get());
        }
        workload.run(store, 14, true);
        workload.sync(store);
        return Optional.empty();
      } catch (StoreException e) {
        return Optional.of("round " + round + ": " + e.getMessage());
      } catch (SimDisk.PowerCut cut) {
        disk = disk.afterPowerCut(random);
      }
    }
    return Optional.empty();
  }

  @Test
  void storeIsConsistentAfterAPowerCutAtEachCall() throws IOException {
    int checked = 0;
    for (int cutAtCall = 0; cutAtCall < 120; cutAtCall++) {
      for (long survivorSeed = 0; survivorSeed < 12; survivorSeed++) {
        assertEquals(
            Optional.empty(),
            faultAfterPowerCuts(cutAtCall % 5, cutAtCall, survivorSeed, 1),
            "call " + cutAtCall + ", subset " + survivorSeed);
        checked++;
      }
    }
    assertTrue(checked == 1440);
  }

  @Property(seed = "2077", tries = 1500)
  void storeIsConsistentAfterRepeatedPowerCuts(
      @ForAll @LongRange(min = 0, max = 1000) long seed,
      @ForAll @IntRange(max = 90) int cutAtCall,
      @ForAll long survivorSeed)
      throws IOException {
    assertEquals(Optional.empty(), faultAfterPowerCuts(seed, cutAtCall, survivorSeed, 3));
  }

  /** Returns whether any power cut causes a fault if the disk skips a kind of sync. */
  private static boolean findsFaultWithout(SimDisk.SkippedSync skippedSync) throws IOException {
    for (int cutAtCall = 0; cutAtCall < 120; cutAtCall++) {
      for (long survivorSeed = 0; survivorSeed < 12; survivorSeed++) {
        if (faultAfterPowerCuts(cutAtCall % 5, cutAtCall, survivorSeed, 1, skippedSync)
            .isPresent()) {
          return true;
        }
      }
    }
    return false;
  }

  @Test
  void skippedFileSyncIsDetected() throws IOException {
    assertTrue(findsFaultWithout(SimDisk.SkippedSync.FILE));
  }

  @Test
  void skippedDirectorySyncIsDetected() throws IOException {
    assertTrue(findsFaultWithout(SimDisk.SkippedSync.DIRECTORY));
  }

  /** Without this sync, a checkpoint may get its final name before its content is durable. */
  @Test
  void skippedSyncBeforeRenameIsDetected() throws IOException {
    assertTrue(findsFaultWithout(SimDisk.SkippedSync.UNFINISHED_FILE));
  }
}
