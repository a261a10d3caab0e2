package pearusher.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pearusher.control.DurableControllerFixture.STEPS_BEYOND_SLACK;

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
 * The controller with the real policy and a store, over power cuts and disk failures. Guards
 * against updates that are lost, repeated or incomplete after a restart. To show that the checker
 * detects such faults, some tests disable a safeguard of the store and expect faults.
 */
class DurablePublisherTest {
  private static final int POWER_CUT_SEEDS = 25;
  private static final int FAILING_DISK_SEEDS = 12;
  private static final int POWER_CUTS = 4;

  /** The file with which a process marks a store that it has abandoned. */
  private static final String ABANDONED_MARK = "given-up";

  @TempDir Path directory;

  /**
   * Runs several processes that each end with a power cut, and returns the checker with its
   * findings.
   */
  private UpdateChecker checkPowerCuts(
      long seed, int powerCuts, SimDisk.SkippedSync... skippedSyncs) throws Exception {
    DurableControllerFixture fixture =
        new DurableControllerFixture(directory, new SimDisk(skippedSyncs));
    try {
      fixture.runWithPowerCuts(powerCuts, new Random(seed));
    } catch (StoreException refused) {
      fixture.checker().faults().add(new UpdateFault(Kind.STORE_REFUSED, refused.getMessage()));
    }
    return fixture.checker();
  }

  private boolean findsFault(SimDisk.SkippedSync skippedSync) throws Exception {
    for (long seed = 1; seed <= POWER_CUT_SEEDS; seed++) {
      if (!checkPowerCuts(seed, POWER_CUTS, skippedSync).faults().isEmpty()) {
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
      UpdateChecker checker = checkPowerCuts(seed, POWER_CUTS);
      assertEquals(List.of(), checker.faults(), "seed " + seed);
      updates += checker.updates();
      deltas += checker.deltasAtJoin();
    }
    assertTrue(
        updates > 1000 && deltas > 100, updates + " updates, " + deltas + " deltas at a join");
  }

  /**
   * Only one server remains ready. Guards against acknowledgements that are lost when a stream
   * disconnects or the power is cut, although they were durable.
   */
  @Test
  void aProxyThatAcknowledgedItsTableIsSentNoCompleteTableAfterABrokenStreamOrAPowerCut()
      throws Exception {
    DurableControllerFixture fixture = new DurableControllerFixture(directory, new SimDisk());
    fixture.startAndJoinAll(true);
    fixture.drainFrom(1);
    fixture.runIdleSteps(STEPS_BEYOND_SLACK);
    fixture.rejoin(2);
    fixture.runIdleSteps(STEPS_BEYOND_SLACK);
    fixture.cutPower(new Random(1));
    fixture.startAndJoinAll(false);
    assertEquals(Set.of("s0"), fixture.usableServers(2));
    fixture.toggleDraining(0);
    fixture.runIdleSteps(STEPS_BEYOND_SLACK);
    assertEquals(List.of(), fixture.checker().faults());
    assertEquals(0, fixture.checker().completeTablesAtRejoin());
    assertEquals(Set.of(), fixture.usableServers(2));
  }

  /**
   * Proxies are not bound to an empty table; a proxy that joins meanwhile is bound once a server
   * returns.
   */
  @Test
  void aProxyThatRejoinsWhileItsTableIsEmptyIsSentTheCompleteTableOnceAServerReturns()
      throws Exception {
    DurableControllerFixture fixture = new DurableControllerFixture(directory, new SimDisk());
    fixture.startAndJoinAll(true);
    fixture.drainFrom(0);
    fixture.runIdleSteps(STEPS_BEYOND_SLACK);
    int updatesBefore = fixture.checker().updates();
    fixture.rejoin(2);
    fixture.runIdleSteps(STEPS_BEYOND_SLACK);
    assertEquals(updatesBefore, fixture.checker().updates(), "updates while the table is empty");
    fixture.toggleDraining(3);
    fixture.runIdleSteps(STEPS_BEYOND_SLACK);
    assertEquals(List.of(), fixture.checker().faults());
    assertEquals(1, fixture.checker().completeTablesAtRejoin(), "to proxy 2 alone");
    assertEquals(Set.of("s3"), fixture.usableServers(2));
  }

  /**
   * Updates are sent before they are durable, so a restart reverts tables and acknowledgement
   * numbers.
   */
  @Test
  void withoutTheSyncOfTheLogTheCheckerFindsFaults() throws Exception {
    assertTrue(findsFault(SimDisk.SkippedSync.FILE));
  }

  @Test
  void withoutTheSyncBeforeARenameTheCheckerFindsFaults() throws Exception {
    assertTrue(findsFault(SimDisk.SkippedSync.UNFINISHED_FILE));
  }

  /**
   * Runs a process whose disk fails while proxies are joined, and then a second process. The first
   * continues to send updates from memory; the second must not trust the store.
   *
   * @param keepsAbandonedMark whether the mark of the abandoned store is kept for the second
   *     process
   */
  private DurableControllerFixture runWithFailingDisk(long seed, boolean keepsAbandonedMark)
      throws Exception {
    DurableControllerFixture fixture = new DurableControllerFixture(directory, new SimDisk());
    Random random = new Random(seed);
    fixture.start();
    fixture.joinAll(true);
    fixture.runIteration();
    fixture.runSteps(6, random);
    int updatesBefore = fixture.checker().updates();
    failNextWriteOfTheLog(fixture.disk());
    fixture.runSteps(30, random);
    assertTrue(
        fixture.checker().updates() > updatesBefore + 3, fixture.checker().updates() + " updates");
    assertEquals(0, fixture.publisher().pendingIterations());
    if (keepsAbandonedMark) {
      awaitAbandonedMark(fixture.disk());
    }
    fixture.stopProcess();
    if (!keepsAbandonedMark) {
      awaitAbandonedMark(fixture.disk());
      fixture.disk().delete(ABANDONED_MARK);
    }
    fixture.prepareRestart();
    fixture.start();
    fixture.joinAll(false);
    fixture.runIteration();
    fixture.runSteps(8, random);
    fixture.compareWithCompleteTables();
    return fixture;
  }

  /**
   * Lets the next write of the log fail, because a failed compaction would not make the store fail.
   */
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
    // A start that does not trust the store sends complete tables. Its acknowledgement numbers
    // continue from the last stored number, without those sent after the store was abandoned.
    Set<Kind> expected = EnumSet.of(Kind.UNNEEDED_COMPLETE_TABLE, Kind.REPEATED, Kind.ACK_NUMBER);
    for (long seed = 1; seed <= FAILING_DISK_SEEDS; seed++) {
      DurableControllerFixture fixture = runWithFailingDisk(seed, true);
      List<UpdateFault> unexpected =
          fixture.checker().faults().stream()
              .filter(fault -> !expected.contains(fault.kind()))
              .toList();
      assertEquals(List.of(), unexpected, "seed " + seed);
      assertFalse(fixture.disk().list().contains(ABANDONED_MARK), "the store is in use again");
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
    assertTrue(isFound, "no proxy has weights that differ from those of the others");
  }

  /**
   * A disk call that fails, and the log line that reports it.
   *
   * @param file a substring of the file name
   * @param storeHasFailed whether a disk call of the store failed before
   * @param steps the number of steps to run until the call is made
   */
  private record DiskFailure(
      String operation, String file, boolean storeHasFailed, int steps, String logLine) {}

  private static final List<DiskFailure> DISK_FAILURES =
      List.of(
          new DiskFailure("create", ".tmp", false, 30, "WARN store compaction failed: cause=\""),
          new DiskFailure(
              "create",
              ABANDONED_MARK,
              true,
              30,
              "ERROR store could not be marked as given up, use an empty directory for the next "
                  + "start: cause=\""),
          new DiskFailure("sync", "log-", false, 0, "WARN store could not be closed: cause=\""));

  /** Checks log lines documented for operators that cannot be provoked in a real process. */
  @Test
  void logReportsATruncatedLogAndDiskFailures() throws Exception {
    PrintStream standardOutput = System.out;
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    System.setOut(new PrintStream(log, true, StandardCharsets.UTF_8));
    try {
      for (long seed = 1;
          !log.toString(StandardCharsets.UTF_8).contains("store log truncated");
          seed++) {
        checkPowerCuts(seed, 2);
      }
      for (DiskFailure failure : DISK_FAILURES) {
        runWith(failure);
        TestPeers.awaitUntil(
            failure.logLine(),
            () -> log.toString(StandardCharsets.UTF_8).contains(failure.logLine()));
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

  private void runWith(DiskFailure failure) throws Exception {
    DurableControllerFixture fixture = new DurableControllerFixture(directory, new SimDisk());
    fixture.start();
    fixture.joinAll(true);
    fixture.runIteration();
    SimDisk disk = fixture.disk();
    disk.callListener =
        (operation, file) -> {
          if (operation.equals(failure.operation()) && file.contains(failure.file())) {
            disk.failAtCall = disk.callCount;
          }
        };
    if (failure.storeHasFailed()) {
      disk.failAtCall = disk.callCount + 1;
    }
    fixture.runSteps(failure.steps(), new Random(5));
    fixture.publisher().closeQuietly();
  }
}
