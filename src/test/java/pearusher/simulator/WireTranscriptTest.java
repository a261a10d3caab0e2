package pearusher.simulator;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pearusher.policy.AdmissionMode;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.FaastPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;

/**
 * Characterization test of the simulator's protocol: batches of binary events must give exactly the
 * recorded replies.
 *
 * <p>Each line of wire-transcripts.txt has a name and the bytes of a reply in hexadecimal, or their
 * length and digest. Any difference is a change of behaviour. If it is intended, the failure
 * message contains the new line.
 */
class WireTranscriptTest {
  private static final String RECORDED = "/wire-transcripts.txt";
  private static final long BATCH_START_US = 50_000_000;
  private static final long SECOND_US = 1_000_000;

  /** Time in microseconds of the event at which the failing policy throws. */
  private static final long FAILURE_US = 53_000_000;

  private static final int SERVERS = 24;
  private static final int PROXIES = 8;
  private static final int[] HEALTH_CHECK_STATUSES = {200, 200, 200, 502, 429, 408, 521, 520, 777};

  private static final String RATE_MODE = BatchWriter.SETTINGS;
  private static final String SHARE_MODE =
      BatchWriter.SETTINGS
          .replace("throttleBy=per_second", "throttleBy=fraction")
          .replace("discovery=on_request", "discovery=pushed")
          .replace("azs=vannes,lorient", "azs=a,b,c")
          .replace("messagesMost=0", "messagesMost=6")
          .replace("fees.crossZone=0.06", "fees.crossZone=0");
  private static final String NO_ADMISSION_MODE =
      BatchWriter.SETTINGS
          .replace("throttleBy=per_second", "throttleBy=off")
          .replace("report.fields=utilization,outstanding", "report.fields=outstanding");
  private static final String WITH_SLICES = BatchWriter.SETTINGS.replace("shards=0", "shards=4");

  private static Map<String, String> recorded() throws IOException {
    Map<String, String> lines = new TreeMap<>();
    try (InputStream in = WireTranscriptTest.class.getResourceAsStream(RECORDED)) {
      assertNotNull(in, RECORDED);
      new String(in.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .forEach(line -> lines.put(line.split(" ")[0], line));
    }
    return lines;
  }

  private static void assertRecorded(String name, String reply) throws IOException {
    assertEquals(recorded().get(name), name + " " + reply, "new line of " + RECORDED);
  }

  private static byte[] replies(
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> factory, byte[]... frames)
      throws IOException, SimulatorProtocolException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorLoop(factory).run(new ByteArrayInputStream(BatchWriter.join(frames)), out);
    return out.toByteArray();
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static String digest(byte[] bytes) throws NoSuchAlgorithmException {
    return bytes.length + " bytes " + hex(MessageDigest.getInstance("SHA-256").digest(bytes));
  }

  private static String list(int kind, int from, int to, int zones, int lifecycle, long startedUs) {
    List<String> entries = new ArrayList<>();
    for (int server = from; server <= to; server++) {
      entries.add(WireEvents.entry(server, server % zones, lifecycle, 1 + server % 2, startedUs));
    }
    return WireEvents.endpointList(kind, entries.toArray(new String[0]));
  }

  /** Returns the first records of an instance: settings, endpoint list and proxies. */
  private static List<String> initialRecords(
      int instance, String settings, int servers, int zones, int proxies) {
    List<String> records =
        new ArrayList<>(
            List.of(
                WireEvents.instance(instance),
                BatchWriter.start(settings),
                list(WireEvents.CACHED, 1, servers, zones, WireEvents.READY, 0)));
    for (int proxy = 0; proxy < proxies; proxy++) {
      records.add(WireEvents.proxyJoined(proxy, proxy % zones, 6.5, proxy % 3 > 0));
    }
    return records;
  }

  private static byte[] frame(long nowUs, List<String> records) {
    return BatchWriter.frame(nowUs, records.toArray(new String[0]));
  }

  @Test
  void twoInstancesInOneBatchGiveTheRecordedBytes() throws Exception {
    List<String> first = initialRecords(1, RATE_MODE, 3, 2, 2);
    first.addAll(initialRecords(2, SHARE_MODE, 3, 3, 3));
    assertRecorded(
        "two-instances",
        hex(
            replies(
                FaastPolicy::new,
                frame(BATCH_START_US, first),
                BatchWriter.frame(
                    BATCH_START_US + SECOND_US,
                    WireEvents.instance(2),
                    WireEvents.timer(1),
                    WireEvents.instance(1),
                    WireEvents.loadReport(1, 0, 20, 5, 250_000, 0.5),
                    list(WireEvents.DELTA, 3, 3, 2, WireEvents.DRAINING, 0),
                    WireEvents.timer(1)))));
  }

  @Test
  void slicesAndUnknownInstancesGiveTheRecordedBytes() throws Exception {
    List<String> first = initialRecords(4, WITH_SLICES, 3, 2, 2);
    first.addAll(
        List.of(
            WireEvents.sliceAssignment(1, true),
            WireEvents.sliceWeight(1, 2, 0.75),
            WireEvents.sliceUsageReport(1, 0, 9, 1),
            WireEvents.instance(9),
            WireEvents.timer(1)));
    assertRecorded(
        "slices",
        hex(
            replies(
                FaastPolicy::new,
                frame(BATCH_START_US, first),
                frame(BATCH_START_US + 5, List.of()),
                BatchWriter.frame(
                    BATCH_START_US + SECOND_US,
                    WireEvents.instance(4),
                    WireEvents.stop(),
                    WireEvents.timer(1)))));
  }

  @Test
  void minuteOfEventsGivesTheRecordedBytes() throws Exception {
    assertAll(
        IntStream.rangeClosed(1, 3)
            .mapToObj(
                seed ->
                    () ->
                        assertRecorded(
                            "minute-" + seed,
                            digest(replies(FaastPolicy::new, minuteOfEvents(seed))))));
  }

  /** Returns the frames of a minute of events for four instances, with records of every code. */
  private static byte[][] minuteOfEvents(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<byte[]> frames = new ArrayList<>();
    List<String> first = initialRecords(1, RATE_MODE, SERVERS, 2, PROXIES);
    first.addAll(initialRecords(2, SHARE_MODE, SERVERS, 3, PROXIES));
    first.addAll(initialRecords(300, NO_ADMISSION_MODE, SERVERS, 2, PROXIES));
    first.addAll(initialRecords(4, WITH_SLICES, SERVERS, 2, PROXIES));
    frames.add(frame(BATCH_START_US, first));
    for (int second = 1; second <= 60; second++) {
      long nowUs = BATCH_START_US + second * SECOND_US;
      boolean isOverloaded = second > 15 && second < 30;
      List<String> records = new ArrayList<>();
      for (int instance : new int[] {1, 2, 300}) {
        records.add(WireEvents.instance(instance));
        addReports(records, random, instance == 2 ? 3 : 2, isOverloaded);
        addChanges(records, random, second, nowUs);
      }
      records.add(WireEvents.instance(4));
      records.add(WireEvents.sliceUsageReport(second % 4, 1, second, 0));
      records.add(WireEvents.sliceAssignment(second % 4, second % 2 == 0));
      records.add(WireEvents.sliceWeight(second % 4, second % SERVERS, 0.5));
      frames.add(frame(nowUs, records));
      frames.add(frame(nowUs + 100_000, timers(1, 2, 300)));
    }
    frames.add(
        BatchWriter.frame(
            BATCH_START_US + 61 * SECOND_US,
            WireEvents.instance(2),
            WireEvents.stop(),
            WireEvents.timer(1),
            WireEvents.instance(300),
            WireEvents.timer(1)));
    return frames.toArray(new byte[0][]);
  }

  private static List<String> timers(int... instances) {
    List<String> records = new ArrayList<>();
    for (int instance : instances) {
      records.addAll(
          List.of(
              WireEvents.instance(instance),
              WireEvents.timer(1),
              WireEvents.timer(2),
              WireEvents.timer(3)));
    }
    return records;
  }

  private static void addReports(
      List<String> records, SplittableRandom random, int zones, boolean isOverloaded) {
    for (int server = 1; server <= SERVERS; server++) {
      long attempts = 10L + random.nextInt(10);
      long failed = isOverloaded || server == 3 ? random.nextLong(attempts) : 0;
      long meanUs = (isOverloaded ? 600_000L : 100_000L) + random.nextInt(100_000);
      records.add(
          WireEvents.loadReport(server, random.nextInt(zones), attempts, failed, meanUs, 0.25));
    }
    for (int proxy = 0; proxy < PROXIES; proxy++) {
      records.add(WireEvents.usageReport(proxy, 0, 5 + random.nextInt(20), isOverloaded ? 3 : 0));
      records.add(WireEvents.usageReport(proxy, 1, random.nextInt(10), 0));
    }
  }

  private static void addChanges(
      List<String> records, SplittableRandom random, int second, long nowUs) {
    int server = 1 + random.nextInt(SERVERS);
    int proxy = random.nextInt(PROXIES);
    for (int ackNumber = second - 2; ackNumber <= second; ackNumber++) {
      records.add(
          WireEvents.acknowledgement(
              proxy, Math.max(1, ackNumber), 200_000 + random.nextInt(900_000)));
    }
    int status = HEALTH_CHECK_STATUSES[random.nextInt(HEALTH_CHECK_STATUSES.length)];
    records.add(WireEvents.healthCheckResult(server, status, 7000, random.nextDouble(), 3));
    switch (second % 12) {
      case 1 -> records.add(list(WireEvents.DELTA, server, server, 2, WireEvents.DRAINING, 0));
      case 3 -> records.add(list(WireEvents.DELTA, server, server, 2, WireEvents.REMOVED, 0));
      case 5 -> records.add(list(WireEvents.DELTA, server, server, 2, WireEvents.READY, nowUs));
      case 7 -> records.add(WireEvents.proxyLeft(proxy));
      case 8 -> records.add(WireEvents.proxyJoined(proxy, proxy % 2, 8, second % 3 == 0));
      case 9 -> records.add(WireEvents.peerMessage(2, "686921"));
      case 10 -> records.add(list(WireEvents.COMPLETE, 1, SERVERS, 2, WireEvents.READY, 0));
      case 11 -> records.add(WireEvents.endpointList(WireEvents.FAILED));
      default -> records.add(WireEvents.timer(77));
    }
  }

  @Test
  void failingInstanceGivesAFailureRecordAndOthersContinue() throws Exception {
    List<String> first = initialRecords(1, RATE_MODE, 3, 2, 2);
    first.addAll(initialRecords(2, SHARE_MODE, 3, 3, 3));
    assertRecorded(
        "failing-instance",
        digest(
            replies(
                WireTranscriptTest::failingPolicy,
                frame(BATCH_START_US, first),
                frame(FAILURE_US, timers(1, 2)),
                frame(FAILURE_US + SECOND_US, timers(1, 2)))));
  }

  @Test
  void instanceFailingAtStartGivesAFailureRecord() throws Exception {
    assertRecorded(
        "failing-start",
        hex(
            replies(
                (settings, commands) -> {
                  throw failureWithoutStackTrace();
                },
                frame(BATCH_START_US, initialRecords(1, RATE_MODE, 3, 2, 2)))));
  }

  /**
   * Returns a policy that throws at {@link #FAILURE_US} if its admission mode is the rate. The
   * first argument of each event is its time.
   */
  private static AssignmentPolicy failingPolicy(PolicySettings settings, PolicyCommands commands) {
    FaastPolicy policy = new FaastPolicy(settings, commands);
    boolean fails = settings.admissionMode() == AdmissionMode.RATE;
    return (AssignmentPolicy)
        Proxy.newProxyInstance(
            WireTranscriptTest.class.getClassLoader(),
            new Class<?>[] {AssignmentPolicy.class},
            (self, method, arguments) -> {
              if (fails && arguments[0].equals(FAILURE_US)) {
                throw failureWithoutStackTrace();
              }
              return method.invoke(policy, arguments);
            });
  }

  private static RuntimeException failureWithoutStackTrace() {
    RuntimeException failure = new IllegalStateException("decisions failed");
    failure.setStackTrace(new StackTraceElement[0]);
    return failure;
  }

  /** Returns the bytes of the replies before an invalid input, and the error message. */
  private static String replyAndError(byte[] input) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    SimulatorProtocolException error =
        assertThrows(
            SimulatorProtocolException.class,
            () -> new SimulatorLoop(FaastPolicy::new).run(new ByteArrayInputStream(input), out));
    return hex(out.toByteArray()) + "; " + error.getMessage();
  }

  private static byte[] withRecordCount(long count, byte[] frame) {
    frame[4] = (byte) count;
    return frame;
  }

  @Test
  void invalidInputGivesTheRecordedErrorMessage() throws IOException {
    byte[] valid = BatchWriter.frame(BATCH_START_US, WireEvents.instance(1), WireEvents.timer(1));
    Map<String, byte[]> inputs = new TreeMap<>();
    inputs.put("short-header", BatchWriter.join(valid, BatchWriter.hex("0100 0000")));
    inputs.put(
        "short-frame",
        BatchWriter.join(valid, BatchWriter.hex("09000000 01000000 0000000000000000 0f01")));
    inputs.put("long-frame", BatchWriter.hex("ffffffff 01000000 0000000000000000"));
    inputs.put(
        "unknown-code",
        BatchWriter.join(valid, BatchWriter.frame(1, WireEvents.instance(1), "10")));
    inputs.put("code-zero", BatchWriter.frame(1, WireEvents.instance(1), "00"));
    inputs.put("no-instance", BatchWriter.join(valid, BatchWriter.frame(1, WireEvents.timer(1))));
    inputs.put("too-few-records", withRecordCount(3, valid.clone()));
    inputs.put("too-many-records", withRecordCount(1, valid.clone()));
    inputs.put(
        "list-form", BatchWriter.frame(1, WireEvents.instance(1), "0204" + BatchWriter.u64(0)));
    inputs.put(
        "server-state",
        BatchWriter.frame(1, WireEvents.instance(1), list(WireEvents.COMPLETE, 1, 1, 2, 3, 0)));
    inputs.put("short-record", BatchWriter.frame(1, WireEvents.instance(1), "0301"));
    inputs.put(
        "short-load",
        BatchWriter.frame(
            1, WireEvents.instance(1), "04" + WireEvents.server(1) + "c800 00000000 02 00000000"));
    inputs.put("short-instance", BatchWriter.frame(1, "0f01"));
    inputs.put(
        "short-text",
        BatchWriter.frame(1, WireEvents.instance(1), "01" + BatchWriter.u64(7) + "ff000000 61"));
    inputs.put(
        "no-settings",
        BatchWriter.frame(1, WireEvents.instance(1), BatchWriter.start("azs=vannes")));
    inputs.put(
        "settings-value",
        BatchWriter.frame(
            1,
            WireEvents.instance(1),
            BatchWriter.start(BatchWriter.SETTINGS.replace("transitUs=294000", "transitUs=soon"))));
    assertAll(
        inputs.entrySet().stream()
            .map(
                input ->
                    () ->
                        assertRecorded(
                            "fault-" + input.getKey(), replyAndError(input.getValue()))));
  }
}
