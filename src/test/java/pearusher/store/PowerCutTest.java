package pearusher.store;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * The power goes before each call of the file layer; what was not synced survives in any subset.
 */
class PowerCutTest {
  private static final StoreOptions SMALL =
      new StoreOptions(StoreOptions.Policy.EACH, 0, 200, 1, 2, StoreOptions.Damage.REFUSE);

  /** A workload cut at a call, found again, and on; what was wrong, or null. */
  private static String cut(long seed, int call, long subset, int rounds, SimDisk.Lie... lies)
      throws IOException {
    Workload work = new Workload(seed);
    SimDisk disk = new SimDisk(lies);
    Random random = new Random(subset);
    for (int round = 0; round <= rounds; round++) {
      disk.cutAt = round < rounds ? call : -1;
      try {
        Store store = Store.open(disk, SMALL);
        String wrong = work.check(store.takeRecovered());
        if (wrong != null) {
          return "round " + round + ": " + wrong;
        }
        work.run(store, 14, true);
        work.sync(store);
        return null;
      } catch (StoreException refused) {
        return "round " + round + ": " + refused.getMessage();
      } catch (SimDisk.PowerCut gone) {
        disk = disk.afterPowerCut(random);
      }
    }
    return null;
  }

  @Test
  void atEachCall() throws IOException {
    int cuts = 0;
    for (int call = 0; call < 120; call++) {
      for (long subset = 0; subset < 12; subset++) {
        assertNull(cut(call % 5, call, subset, 1), "call " + call + ", subset " + subset);
        cuts++;
      }
    }
    assertTrue(cuts == 1440);
  }

  @Property(seed = "2077", tries = 1500)
  void twiceInARow(
      @ForAll @LongRange(min = 0, max = 1000) long seed,
      @ForAll @IntRange(max = 90) int call,
      @ForAll long subset)
      throws IOException {
    assertNull(cut(seed, call, subset, 3));
  }

  /** Each defence taken out: some cut must then be seen by the checker. */
  private static boolean seen(SimDisk.Lie lie) throws IOException {
    for (int call = 0; call < 120; call++) {
      for (long subset = 0; subset < 12; subset++) {
        if (cut(call % 5, call, subset, 1, lie) != null) {
          return true;
        }
      }
    }
    return false;
  }

  @Test
  void withoutTheSyncTheCheckerFails() throws IOException {
    assertTrue(seen(SimDisk.Lie.SYNC));
  }

  @Test
  void withoutTheDirectorysSyncTheCheckerFails() throws IOException {
    assertTrue(seen(SimDisk.Lie.SYNC_DIRECTORY));
  }

  /** A rename before the content is synced: the name may then stand for half a checkpoint. */
  @Test
  void withoutTheSyncBeforeTheRenameTheCheckerFails() throws IOException {
    assertTrue(seen(SimDisk.Lie.SYNC_UNFINISHED));
  }
}
