package pearusher.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import pearusher.control.ScriptedPolicy;
import pearusher.policy.AdmissionMode;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.FaastPolicy;
import pearusher.policy.Idempotency;
import pearusher.policy.LoadMetric;
import pearusher.policy.LoadReportSource;
import pearusher.policy.PickMethod;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.PolicySettingsReader;
import pearusher.sitesettings.SettingsException;

class SimulatorLoopTest {
  private static final int REPLY_HEADER_BYTES = 8;
  private static final int INSTANCE_RECORD_BYTES = 3;
  private static final long FIRST_SERVER = 0x0a124a071b5bL;
  private static final long SECOND_SERVER = 0x0a9011f21b84L;

  private final List<String> receivedEvents = new ArrayList<>();

  private static PolicySettings settings(String text) throws SettingsException {
    return PolicySettingsReader.read(7, PathValues.parseLines(text));
  }

  /** Returns a policy that records the events that it receives and issues no commands. */
  private AssignmentPolicy recordingPolicy() {
    return (AssignmentPolicy)
        Proxy.newProxyInstance(
            SimulatorLoopTest.class.getClassLoader(),
            new Class<?>[] {AssignmentPolicy.class},
            (self, method, args) -> {
              List<String> fields = new ArrayList<>(List.of(method.getName()));
              for (Object arg : args) {
                fields.add(ScriptedPolicy.describe(arg));
              }
              receivedEvents.add(String.join(" ", fields));
              return null;
            });
  }

  private static byte[] run(
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> factory, InputStream in)
      throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorLoop(factory).run(in, out);
    return out.toByteArray();
  }

  private static byte[] run(
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> factory, byte[] in)
      throws Exception {
    return run(factory, new ByteArrayInputStream(in));
  }

  private List<String> eventsOfBatch(String... records) throws Exception {
    List<String> batch = new ArrayList<>();
    batch.add("0f0300");
    batch.add(BatchWriter.start(BatchWriter.SETTINGS));
    batch.addAll(List.of(records));
    run(
        (settings, commands) -> recordingPolicy(),
        BatchWriter.frame(5, batch.toArray(new String[0])));
    return receivedEvents.stream().filter(event -> !event.startsWith("onBatchEnd")).toList();
  }

  @Test
  void emptyBatchGivesEmptyReply() throws Exception {
    byte[] in = BatchWriter.hex("00000000 00000000 5a5c800000000000");
    assertArrayEquals(new byte[8], run((settings, commands) -> recordingPolicy(), in));
    assertArrayEquals(new byte[0], run((settings, commands) -> recordingPolicy(), new byte[0]));
  }

  @Test
  void everyEventIsDecoded() throws Exception {
    List<String> received =
        eventsOfBatch(
            BatchWriter.cachedList(),
            "03 4d00000000000000",
            "04 0a124a07 5b1b 9801 10270000 01 0000003f",
            "05 0200 0200 6869",
            "07 2900 01 0000d040 01",
            "08 2900",
            "09 10270000 07000000 2900",
            "0a 0e000000 01000000 40420f00 00 0a124a07 5b1b 7abc0000 01 52b81e3f",
            "0b 2900 01 09000000 02000000 80841e00",
            "0c 05000000 01000000 01 0700 80841e00",
            "0d 01 0700",
            "0e 0700 0a9011f2 841b 0000403f");
    String otherFields = ", machineType=0, cell=0, lifecycle=READY, weight=";
    assertEquals(
        "onEndpointList 5 CACHED [ServerEntry[server="
            + FIRST_SERVER
            + ", zone=0"
            + otherFields
            + "1.0, startedUs=0], "
            + "ServerEntry[server="
            + SECOND_SERVER
            + ", zone=1"
            + otherFields
            + "1.5, startedUs=6100000]]",
        received.get(0));
    assertEquals(
        List.of(
            "onTimer 5 77",
            "onHealthCheckResult 5 " + FIRST_SERVER + " TIMED_OUT 10000 [0.5]",
            "onPeerMessage 5 2 [104, 105]",
            "onProxyJoined 5 41 1 6.5 true",
            "onProxyLeft 5 41",
            "onAcknowledgement 5 41 7 10000",
            "onLoadReport 5 " + FIRST_SERVER + " 0 14 1 1000000 48250 [0.62]",
            "onUsageReport 5 41 1 9 2 2000000",
            "onSliceUsageReport 5 7 1 5 1 2000000",
            "onSliceAssignment 5 7 true",
            "onSliceWeight 5 7 " + SECOND_SERVER + " 0.75"),
        received.subList(1, received.size()));
  }

  @Test
  void listKindsLifecyclesAndHealthCheckResultsAreDecoded() throws Exception {
    String entry = "01000000 0a124a07 5b1b 00 0100 0200 ";
    String otherFields = " 0000803f 0000000000000000";
    List<String> received =
        eventsOfBatch(
            "02 00 01000000" + entry + "02" + otherFields,
            "02 01 01000000" + entry + "00" + otherFields,
            "02 03 01000000 00000000",
            "04 0a124a07 5b1b c800 00000000 00",
            "04 0a124a07 5b1b f601 00000000 00",
            "04 0a124a07 5b1b ad01 00000000 00",
            "04 0a124a07 5b1b 0902 00000000 00",
            "04 0a124a07 5b1b 0802 00000000 00",
            "04 0a124a07 5b1b bc01 00000000 00");
    assertTrue(
        received.get(0).contains("DELTA")
            && received.get(0).contains("machineType=1, cell=2, lifecycle=DRAINING"));
    assertTrue(
        received.get(1).contains("COMPLETE") && received.get(1).contains("lifecycle=REMOVED"));
    assertTrue(received.get(2).contains("FAILED"));
    List<String> results =
        List.of("OK", "ERROR", "REJECTED", "UNREACHABLE", "DISCONNECTED", "OTHER");
    for (int i = 0; i < results.size(); i++) {
      assertEquals(
          "onHealthCheckResult 5 " + FIRST_SERVER + " " + results.get(i) + " 0 []",
          received.get(3 + i));
    }
  }

  @Test
  void everyCommandIsEncoded() throws Exception {
    byte[] received =
        run(
            (settings, commands) -> {
              commands.setWeight(117, SECOND_SERVER, 0.75);
              commands.setAdmission(117, 2, 0.5, 1);
              commands.setTimer(500_000, 77);
              commands.clearTable(117);
              commands.eject(FIRST_SERVER);
              commands.bindProxy(41, 117, 0);
              commands.requestAck(9, true);
              commands.watchEndpoints(true);
              commands.fetchEndpoints();
              commands.checkHealth(FIRST_SERVER);
              commands.sendToPeer(-1, new byte[] {104, 105});
              commands.log("two servers known");
              return recordingPolicy();
            },
            BatchWriter.frame(5, "0f0300", BatchWriter.start(BatchWriter.SETTINGS)));
    byte[] body =
        BatchWriter.hex(
            "48 0300 4e 7500 0a9011f2 841b 0000403f 46 01 0000003f 7500 0200"
                + "4d 20a10700 4d00000000000000 4a 7500 42 0a124a07 5b1b 01 45 2900 7500 0000"
                + "43 09000000 01 44 01 47 4b 0a124a07 5b1b 49 ffffffff 0200 6869"
                + "41 1100 74776f2073657276657273206b6e6f776e");
    assertArrayEquals(
        BatchWriter.join(BatchWriter.hex(BatchWriter.u32(body.length) + BatchWriter.u32(13)), body),
        received);
  }

  @Test
  void settingsReachThePolicy() throws Exception {
    PolicySettings settings = settings(BatchWriter.SETTINGS);
    assertEquals(2, settings.zones());
    assertEquals(2, settings.requestClasses().size());
    assertEquals(Idempotency.NOT_IDEMPOTENT, settings.requestClasses().get(1).idempotency());
    assertEquals(750_000, settings.requestClasses().get(1).latencyObjectiveUs());
    assertTrue(
        settings.requestClasses().get(1).writes()
            && settings.requestClasses().get(1).ownZoneOnly());
    assertEquals(AdmissionMode.RATE, settings.admissionMode());
    assertEquals(LoadReportSource.HEALTH_CHECKS, settings.loadReportSource());
    assertEquals(List.of(LoadMetric.UTILIZATION, LoadMetric.IN_FLIGHT), settings.loadMetrics());
    assertEquals(5900, settings.channel().maxBacklogLines());
    assertEquals(17_000_000, settings.limits().slowStartUs());
    PolicySettings settingsWithOptionalKeys =
        settings(
            BatchWriter.SETTINGS
                + "\nfamilyInfo.pick=p2c\ngoal.whole=0.55"
                + "\nfamilyInfo.connsLeast=172.0\nfamilyInfo.zonal=true"
                + "\nfees.handshake=0.04\ncountedBy=work");
    assertEquals(
        PickMethod.POWER_OF_TWO_CHOICES, settingsWithOptionalKeys.siteProperties().pickMethod());
    assertEquals(0.55, settingsWithOptionalKeys.scoreWeights().overall());
    assertTrue(
        settingsWithOptionalKeys.siteProperties().proxiesJoinInOwnZone()
            && settingsWithOptionalKeys.scoreWeights().byWork());
    assertEquals(172, settingsWithOptionalKeys.siteProperties().minConnections());
    assertEquals(0.04, settingsWithOptionalKeys.costs().handshake());
  }

  @Test
  void errorForMissingOrUnreadableKeyNamesIt() {
    for (String line : BatchWriter.SETTINGS.split("\n")) {
      String key = line.substring(0, line.indexOf('='));
      boolean isOptional =
          key.endsWith(".name")
              || key.equals("kinds")
              || key.equals("report.fields")
              || key.equals("some.newKey")
              || key.equals("rules.askWithinUs");
      String settingsWithoutKey =
          BatchWriter.SETTINGS.replace(line + "\n", "").replace("\n" + line, "");
      if (!isOptional) {
        SettingsException fault =
            assertThrows(SettingsException.class, () -> settings(settingsWithoutKey), key);
        assertTrue(fault.getMessage().contains(key), fault.getMessage());
      }
    }
    SettingsException fault =
        assertThrows(
            SettingsException.class,
            () -> settings(BatchWriter.SETTINGS.replace("transitUs=294000", "transitUs=soon")));
    assertTrue(fault.getMessage().contains("familyInfo.transitUs"), fault.getMessage());
  }

  /** Returns an input stream of which no single read crosses a position. */
  private static InputStream cutAt(byte[] input, int cut) {
    return new InputStream() {
      private int at;

      @Override
      public int read() {
        return at < input.length ? input[at++] & 0xff : -1;
      }

      @Override
      public int read(byte[] to, int off, int len) {
        if (at >= input.length) {
          return -1;
        }
        int count = Math.min(len, (at < cut ? cut : input.length) - at);
        System.arraycopy(input, at, to, off, count);
        at += count;
        return count;
      }
    };
  }

  private static byte[] shortInput(String settings) {
    return BatchWriter.join(
        BatchWriter.frame(
            1_000_000, "0f0300", BatchWriter.start(settings), BatchWriter.cachedList()),
        BatchWriter.frame(1_005_000, "0f0300", "07 2900 01 0000d040 01"),
        BatchWriter.frame(
            2_005_000,
            "0f0300",
            "0a 0e000000 01000000 40420f00 00 0a124a07 5b1b 7abc0000 01 52b81e3f"),
        BatchWriter.frame(3_005_000, "0f0300", "03 0100000000000000"));
  }

  @Test
  void framesSplitAtAnyByteGiveTheSameReplies() throws Exception {
    byte[] input = shortInput(BatchWriter.SETTINGS);
    byte[] expected = run(FaastPolicy::new, input);
    assertTrue(expected.length > 100);
    for (int cut = 1; cut < input.length; cut++) {
      assertArrayEquals(expected, run(FaastPolicy::new, cutAt(input, cut)), "cut at " + cut);
    }
  }

  @Test
  void renamingEveryZoneClassAndMachineTypeChangesNoCommand() throws Exception {
    String renamed =
        BatchWriter.SETTINGS
            .replace("vannes", "x1")
            .replace("lorient", "x2")
            .replace("day-view", "x3")
            .replace("fill-visit", "x4")
            .replace("three-core,four-core", "x5,x6");
    assertArrayEquals(
        run(FaastPolicy::new, shortInput(BatchWriter.SETTINGS)),
        run(FaastPolicy::new, shortInput(renamed)));
  }

  private static SimulatorProtocolException assertFault(
      SimulatorProtocolException.Kind kind, byte[] input) {
    SimulatorProtocolException fault =
        assertThrows(SimulatorProtocolException.class, () -> run(FaastPolicy::new, input));
    assertEquals(kind, fault.kind(), fault.getMessage());
    return fault;
  }

  private static void assertMessageContains(SimulatorProtocolException fault, String part) {
    assertTrue(fault.getMessage().contains(part), fault.getMessage());
  }

  @Test
  void errorForInvalidInputNamesItsPosition() {
    byte[] valid = shortInput(BatchWriter.SETTINGS);
    for (int cut : new int[] {5, 20, valid.length - 3}) {
      byte[] truncated = Arrays.copyOf(valid, cut);
      assertMessageContains(
          assertFault(SimulatorProtocolException.Kind.TRUNCATED, truncated), "truncated");
    }
    SimulatorProtocolException unknownCode =
        assertFault(
            SimulatorProtocolException.Kind.UNKNOWN_CODE, BatchWriter.frame(1, "0f0300", "63"));
    assertMessageContains(unknownCode, "code 99");
    assertMessageContains(unknownCode, "byte 3");
    byte[] wrongCount = BatchWriter.frame(1, "0f0300", "03 4d00000000000000");
    for (byte count : new byte[] {3, 1}) {
      wrongCount[4] = count;
      assertMessageContains(
          assertFault(SimulatorProtocolException.Kind.LENGTH_MISMATCH, wrongCount),
          "length doesn't add up");
    }
    assertFault(
        SimulatorProtocolException.Kind.UNKNOWN_CODE,
        BatchWriter.frame(1, "0f0300", "02 07 00000000"));
    assertFault(SimulatorProtocolException.Kind.NO_INSTANCE, BatchWriter.frame(1, "08 2900"));
  }

  @Test
  void exceptionInThePolicyGivesAFailureRecord() throws Exception {
    byte[] received =
        run(
            (settings, commands) -> {
              throw new IllegalStateException("no way");
            },
            BatchWriter.frame(5, "0f0300", BatchWriter.start(BatchWriter.SETTINGS)));
    assertEquals(
        CommandCode.FAILURE.toByte(), received[REPLY_HEADER_BYTES + INSTANCE_RECORD_BYTES]);
    assertTrue(new String(received, StandardCharsets.UTF_8).contains("no way"));
  }

  @Test
  void stoppedInstanceReceivesNoFurtherEvents() throws Exception {
    assertEquals(List.of("onTimer 5 1"), eventsOfBatch("03 0100000000000000", "06", "08 2900"));
    assertTrue(receivedEvents.stream().noneMatch(event -> event.startsWith("onBatchEnd")));
  }
}
