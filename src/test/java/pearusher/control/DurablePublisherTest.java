package pearusher.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pearusher.control.DurableSite.STEPS_BEYOND_SLACK;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearusher.control.UpdateFault.Kind;
import pearusher.server.TestPeers;
import pearusher.store.SimDisk;
import pearusher.store.StoreException;

/**
 * The controller, the real policy and the store over power cuts and disks that fail: no update may
 * be lost, repeated or incomplete. Where a defence of the store is taken out, the checker must find
 * that.
 */
class DurablePublisherTest {
  private static final int POWER_CUT_SEEDS = 25;
  private static final int FAILING_DISK_SEEDS = 12;
  private static final int LIVES = 4;

  /** The file by which a process marks a store that it has given up. */
  private static final String ABANDONED_MARK = "given-up";

  @TempDir Path directory;

  /** Runs several lives that end with power cuts, and returns the checker's view of them. */
  private UpdateChecker checkPowerCuts(long seed, int lives, SimDisk.SkippedSync... skippedSyncs)
      throws Exception {
    DurableSite site = new DurableSite(directory, new SimDisk(skippedSyncs));
    try {
      site.runLives(lives, new Random(seed));
    } catch (StoreException refused) {
      site.checker().faults().add(new UpdateFault(Kind.STORE_REFUSED, refused.getMessage()));
    }
    return site.checker();
  }

  private boolean findsFault(SimDisk.SkippedSync skippedSync) throws Exception {
    for (long seed = 1; seed <= POWER_CUT_SEEDS; seed++) {
      if (!checkPowerCuts(seed, LIVES, skippedSync).faults().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  @Test
  void noUpdateIsLostRepeatedOrIncompleteOverPowerCuts() throws Exception {
    int updates = 0;
    int deltas = 0;
    for (long seed = 1; seed <= POWER_CUT_SEEDS; seed++) {
      UpdateChecker checker = checkPowerCuts(seed, LIVES);
      assertEquals(List.of(), checker.faults(), "seed " + seed);
      updates += checker.updates();
      deltas += checker.deltasAtJoin();
    }
    assertTrue(
        updates > 1000 && deltas > 100, updates + " updates, " + deltas + " deltas at a join");
  }

  /**
   * With one server left: the acknowledgements were durable, so that neither end of a stream takes
   * them back.
   */
  @Test
  void aProxyThatAcknowledgedItsTableIsSentNoCompleteTableAfterABrokenStreamOrAPowerCut()
      throws Exception {
    DurableSite site = new DurableSite(directory, new SimDisk());
    site.startAndJoinAll(true);
    site.drainFrom(1);
    site.runCalmSteps(STEPS_BEYOND_SLACK);
    site.rejoin(2);
    site.runCalmSteps(STEPS_BEYOND_SLACK);
    site.cutPower(new Random(1));
    site.startAndJoinAll(false);
    assertEquals(Set.of("s0"), site.openServers(2));
    site.toggle(0);
    site.runCalmSteps(STEPS_BEYOND_SLACK);
    assertEquals(List.of(), site.checker().faults());
    assertEquals(0, site.checker().completeTablesAtRejoin());
    assertEquals(Set.of(), site.openServers(2));
  }

  /** No proxy is bound to an empty table: one that joins then is bound once a server returns. */
  @Test
  void aProxyThatRejoinsWhileItsTableIsEmptyIsSentTheCompleteTableOnceAServerReturns()
      throws Exception {
    DurableSite site = new DurableSite(directory, new SimDisk());
    site.startAndJoinAll(true);
    site.drainFrom(0);
    site.runCalmSteps(STEPS_BEYOND_SLACK);
    int updatesBefore = site.checker().updates();
    site.rejoin(2);
    site.runCalmSteps(STEPS_BEYOND_SLACK);
    assertEquals(updatesBefore, site.checker().updates(), "updates while the table is empty");
    site.toggle(3);
    site.runCalmSteps(STEPS_BEYOND_SLACK);
    assertEquals(List.of(), site.checker().faults());
    assertEquals(1, site.checker().completeTablesAtRejoin(), "to proxy 2 alone");
    assertEquals(Set.of("s3"), site.openServers(2));
  }

  /** Updates are sent before they are durable: acknowledgement numbers and tables fall back. */
  @Test
  void withoutTheSyncOfTheLogTheCheckerFindsFaults() throws Exception {
    assertTrue(findsFault(SimDisk.SkippedSync.FILE));
  }

  @Test
  void withoutTheSyncBeforeARenameTheCheckerFindsFaults() throws Exception {
    assertTrue(findsFault(SimDisk.SkippedSync.UNFINISHED_FILE));
  }

  /**
   * The disk fails while proxies are joined: updates go on from memory, and the next start must not
   * trust what it finds.
   *
   * @param keepsMark whether the mark of an abandoned store is left for the next start
   */
  private DurableSite runWithFailingDisk(long seed, boolean keepsMark) throws Exception {
    DurableSite site = new DurableSite(directory, new SimDisk());
    Random random = new Random(seed);
    site.start();
    site.joinAll(true);
    site.runIteration();
    site.runSteps(6, random);
    int updatesBefore = site.checker().updates();
    failNextWriteOfTheLog(site.disk());
    site.runSteps(30, random);
    assertTrue(site.checker().updates() > updatesBefore + 3, site.checker().updates() + " updates");
    assertEquals(0, site.publisher().pendingIterations());
    if (keepsMark) {
      awaitAbandonedMark(site.disk());
    }
    site.stopProcess();
    if (!keepsMark) {
      awaitAbandonedMark(site.disk());
      site.disk().delete(ABANDONED_MARK);
    }
    site.prepareRestart();
    site.start();
    site.joinAll(false);
    site.runIteration();
    site.runSteps(8, random);
    site.compareWithCompleteTables();
    return site;
  }

  /** A write of the log ends the store; a compaction that fails would not. */
  private static void failNextWriteOfTheLog(SimDisk disk) {
    disk.callListener =
        (operation, file) -> {
          if (disk.failAtCall < 0 && operation.equals("write") && file.startsWith("log-")) {
            disk.failAtCall = disk.callCount;
          }
        };
  }

  private static void awaitAbandonedMark(SimDisk disk) throws Exception {
    while (!disk.list().contains(ABANDONED_MARK)) {
      Thread.sleep(1);
    }
  }

  @Test
  void noUpdateIsLostWhenTheDiskFailsAndTheNextStartDoesNotTrustTheStore() throws Exception {
    // A start that does not trust the store sends complete tables, and its acknowledgement numbers
    // begin where the store ended.
    Set<Kind> expected = EnumSet.of(Kind.UNNEEDED_COMPLETE_TABLE, Kind.REPEATED, Kind.ACK_NUMBER);
    for (long seed = 1; seed <= FAILING_DISK_SEEDS; seed++) {
      DurableSite site = runWithFailingDisk(seed, true);
      List<UpdateFault> unexpected =
          site.checker().faults().stream()
              .filter(fault -> !expected.contains(fault.kind()))
              .toList();
      assertEquals(List.of(), unexpected, "seed " + seed);
      assertFalse(site.disk().list().contains(ABANDONED_MARK), "the store is in use again");
    }
  }

  @Test
  void withoutTheMarkOfAnAbandonedStoreTheCheckerFindsDivergedWeights() throws Exception {
    boolean isFound = false;
    for (long seed = 1; seed <= FAILING_DISK_SEEDS && !isFound; seed++) {
      isFound =
          runWithFailingDisk(seed, false).checker().faults().stream()
              .anyMatch(fault -> fault.kind() == Kind.DIVERGED_WEIGHTS);
    }
    assertTrue(isFound, "a proxy with other weights than the others");
  }

  /**
   * A call of the disk that fails, and the line that the log then has.
   *
   * @param file a part of the name of the file
   * @param storeHasFailed whether the store has failed before
   * @param steps steps to run until the call is made
   */
  private record Refusal(
      String operation, String file, boolean storeHasFailed, int steps, String logLine) {}

  private static final List<Refusal> REFUSALS =
      List.of(
          new Refusal("create", ".tmp", false, 30, "WARN store compaction failed: cause=\""),
          new Refusal(
              "create",
              ABANDONED_MARK,
              true,
              30,
              "ERROR store could not be marked as given up, use an empty directory for the next "
                  + "start: cause=\""),
          new Refusal("sync", "log-", false, 0, "WARN store could not be closed: cause=\""));

  /** The log lines of the operators' page that no process can be made to write. */
  @Test
  void logLinesTellOfAnIncompleteLastRecordAndOfADiskThatRefuses() throws Exception {
    PrintStream standardOutput = System.out;
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    System.setOut(new PrintStream(log, true, StandardCharsets.UTF_8));
    try {
      for (long seed = 1;
          !log.toString(StandardCharsets.UTF_8).contains("store log truncated");
          seed++) {
        checkPowerCuts(seed, 2);
      }
      for (Refusal refusal : REFUSALS) {
        runWith(refusal);
        TestPeers.awaitUntil(
            refusal.logLine(),
            () -> log.toString(StandardCharsets.UTF_8).contains(refusal.logLine()));
      }
      assertTrue(
          log.toString(StandardCharsets.UTF_8)
              .matches(
                  "(?s).*INFO store log truncated, unconfirmed end dropped: sequence=\\d+"
                      + " bytes=\\d+ records=\\d+\n"
                      + ".*"));
    } finally {
      System.setOut(standardOutput);
    }
  }

  private void runWith(Refusal refusal) throws Exception {
    DurableSite site = new DurableSite(directory, new SimDisk());
    site.start();
    site.joinAll(true);
    site.runIteration();
    SimDisk disk = site.disk();
    disk.callListener =
        (operation, file) -> {
          if (operation.equals(refusal.operation()) && file.contains(refusal.file())) {
            disk.failAtCall = disk.callCount;
          }
        };
    if (refusal.storeHasFailed()) {
      disk.failAtCall = disk.callCount + 1;
    }
    site.runSteps(refusal.steps(), new Random(5));
    site.publisher().closeQuietly();
  }
}
