package pearusher.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
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
  private static final long A = 0x0a124a071b5bL;
  private static final long B = 0x0a9011f21b84L;

  private final List<String> heard = new ArrayList<>();

  private static PolicySettings settings(String text) throws SettingsException {
    return PolicySettingsReader.read(7, PathValues.parseLines(text));
  }

  /** An assigner that writes down what it is told and orders nothing. */
  private AssignmentPolicy recorder() {
    return (AssignmentPolicy)
        Proxy.newProxyInstance(
            SimulatorLoopTest.class.getClassLoader(),
            new Class<?>[] {AssignmentPolicy.class},
            (self, method, args) -> {
              List<String> words = new ArrayList<>(List.of(method.getName()));
              for (Object arg : args) {
                words.add(
                    arg instanceof float[] f
                        ? Arrays.toString(f)
                        : arg instanceof byte[] b ? Arrays.toString(b) : String.valueOf(arg));
              }
              heard.add(String.join(" ", words));
              return null;
            });
  }

  private static byte[] run(
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker, InputStream in)
      throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorLoop(maker).run(in, out);
    return out.toByteArray();
  }

  private static byte[] run(
      BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> maker, byte[] in)
      throws Exception {
    return run(maker, new ByteArrayInputStream(in));
  }

  private List<String> events(String... records) throws Exception {
    String[] all = new String[records.length + 2];
    all[0] = "0f0300";
    all[1] = BatchWriter.hello(BatchWriter.SETTINGS);
    System.arraycopy(records, 0, all, 2, records.length);
    run((s, o) -> recorder(), BatchWriter.frame(5, all));
    return heard.stream().filter(h -> !h.startsWith("onBatchEnd")).toList();
  }

  @Test
  void anEmptyBatchGetsAnEmptyReply() throws Exception {
    byte[] in = BatchWriter.hex("00000000 00000000 5a5c800000000000");
    assertArrayEquals(new byte[8], run((s, o) -> recorder(), in));
    assertArrayEquals(new byte[0], run((s, o) -> recorder(), new byte[0]));
  }

  @Test
  void everyEventIsDecoded() throws Exception {
    List<String> got =
        events(
            BatchWriter.list(),
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
    String rest = ", machineType=0, cell=0, lifecycle=READY, weight=";
    assertEquals(
        "onEndpointList 5 CACHED [ServerEntry[server="
            + A
            + ", zone=0"
            + rest
            + "1.0, startedUs=0], "
            + "ServerEntry[server="
            + B
            + ", zone=1"
            + rest
            + "1.5, startedUs=6100000]]",
        got.get(0));
    assertEquals(
        List.of(
            "onTimer 5 77",
            "onHealthCheckResult 5 " + A + " TIMED_OUT 10000 [0.5]",
            "onPeerMessage 5 2 [104, 105]",
            "onProxyJoined 5 41 1 6.5 true",
            "onProxyLeft 5 41",
            "onAcknowledgement 5 41 7 10000",
            "onLoadReport 5 " + A + " 0 14 1 1000000 48250 [0.62]",
            "onUsageReport 5 41 1 9 2 2000000",
            "onSliceUsageReport 5 7 1 5 1 2000000",
            "onSliceAssignment 5 7 true",
            "onSliceWeight 5 7 " + B + " 0.75"),
        got.subList(1, got.size()));
  }

  @Test
  void listFormsStatesAndProbeEnds() throws Exception {
    String entry = "01000000 0a124a07 5b1b 00 0100 0200 ";
    String rest = " 0000803f 0000000000000000";
    List<String> got =
        events(
            "02 00 01000000" + entry + "02" + rest,
            "02 01 01000000" + entry + "00" + rest,
            "02 03 01000000 00000000",
            "04 0a124a07 5b1b c800 00000000 00",
            "04 0a124a07 5b1b f601 00000000 00",
            "04 0a124a07 5b1b ad01 00000000 00",
            "04 0a124a07 5b1b 0902 00000000 00",
            "04 0a124a07 5b1b 0802 00000000 00",
            "04 0a124a07 5b1b bc01 00000000 00");
    assertTrue(
        got.get(0).contains("DELTA")
            && got.get(0).contains("machineType=1, cell=2, lifecycle=DRAINING"));
    assertTrue(got.get(1).contains("COMPLETE") && got.get(1).contains("lifecycle=REMOVED"));
    assertTrue(got.get(2).contains("FAILED"));
    List<String> ends = List.of("OK", "ERROR", "REJECTED", "UNREACHABLE", "DISCONNECTED", "OTHER");
    for (int i = 0; i < ends.size(); i++) {
      assertEquals("onHealthCheckResult 5 " + A + " " + ends.get(i) + " 0 []", got.get(3 + i));
    }
  }

  @Test
  void everyActionIsEncoded() throws Exception {
    byte[] got =
        run(
            (s, o) -> {
              o.setWeight(117, B, 0.75);
              o.setAdmission(117, 2, 0.5, 1);
              o.setTimer(500_000, 77);
              o.clearTable(117);
              o.eject(A);
              o.bindProxy(41, 117, 0);
              o.requestAck(9, true);
              o.watchEndpoints(true);
              o.fetchEndpoints();
              o.checkHealth(A);
              o.sendToPeer(-1, new byte[] {104, 105});
              o.log("two servers known");
              return recorder();
            },
            BatchWriter.frame(5, "0f0300", BatchWriter.hello(BatchWriter.SETTINGS)));
    byte[] body =
        BatchWriter.hex(
            "48 0300 4e 7500 0a9011f2 841b 0000403f 46 01 0000003f 7500 0200"
                + "4d 20a10700 4d00000000000000 4a 7500 42 0a124a07 5b1b 01 45 2900 7500 0000"
                + "43 09000000 01 44 01 47 4b 0a124a07 5b1b 49 ffffffff 0200 6869"
                + "41 1100 74776f2073657276657273206b6e6f776e");
    assertArrayEquals(
        BatchWriter.join(BatchWriter.hex(BatchWriter.u32(body.length) + BatchWriter.u32(13)), body),
        got);
  }

  @Test
  void settingsReachTheModuleInItsOwnTerms() throws Exception {
    PolicySettings s = settings(BatchWriter.SETTINGS);
    assertEquals(2, s.zones());
    assertEquals(2, s.requestClasses().size());
    assertEquals(Idempotency.NOT_IDEMPOTENT, s.requestClasses().get(1).idempotency());
    assertEquals(750_000, s.requestClasses().get(1).latencyObjectiveUs());
    assertTrue(s.requestClasses().get(1).writes() && s.requestClasses().get(1).ownZoneOnly());
    assertEquals(AdmissionMode.RATE, s.admissionMode());
    assertEquals(LoadReportSource.HEALTH_CHECKS, s.loadReportSource());
    assertEquals(List.of(LoadMetric.UTILIZATION, LoadMetric.IN_FLIGHT), s.loadMetrics());
    assertEquals(5900, s.channel().maxBacklogLines());
    assertEquals(17_000_000, s.limits().slowStartUs());
    PolicySettings more =
        settings(
            BatchWriter.SETTINGS
                + "\nfamilyInfo.pick=p2c\ngoal.whole=0.55"
                + "\nfamilyInfo.connsLeast=172.0\nfamilyInfo.zonal=true"
                + "\nfees.handshake=0.04\ncountedBy=work");
    assertEquals(PickMethod.LEAST_BUSY_OF_TWO, more.siteTraits().pickMethod());
    assertEquals(0.55, more.scoreWeights().overall());
    assertTrue(more.siteTraits().proxiesJoinInOwnZone() && more.scoreWeights().byWork());
    assertEquals(172, more.siteTraits().minConnections());
    assertEquals(0.04, more.costs().handshake());
  }

  @Test
  void aMissingOrUnreadableKeyIsNamed() {
    for (String line : BatchWriter.SETTINGS.split("\n")) {
      String key = line.substring(0, line.indexOf('='));
      boolean optional =
          key.endsWith(".name")
              || key.equals("kinds")
              || key.equals("report.fields")
              || key.equals("some.newKey")
              || key.equals("rules.askWithinUs");
      String without = BatchWriter.SETTINGS.replace(line + "\n", "").replace("\n" + line, "");
      if (!optional) {
        SettingsException e = assertThrows(SettingsException.class, () -> settings(without), key);
        assertTrue(e.getMessage().contains(key), e.getMessage());
      }
    }
    SettingsException e =
        assertThrows(
            SettingsException.class,
            () -> settings(BatchWriter.SETTINGS.replace("transitUs=294000", "transitUs=soon")));
    assertTrue(e.getMessage().contains("familyInfo.transitUs"), e.getMessage());
  }

  /** An input that gives a single byte, or what lies before a cut, at a time. */
  private static InputStream cutAt(byte[] all, int cut) {
    return new InputStream() {
      private int at;

      @Override
      public int read() {
        return at < all.length ? all[at++] & 0xff : -1;
      }

      @Override
      public int read(byte[] to, int off, int len) {
        if (at >= all.length) {
          return -1;
        }
        int n = Math.min(len, (at < cut ? cut : all.length) - at);
        System.arraycopy(all, at, to, off, n);
        at += n;
        return n;
      }
    };
  }

  private static byte[] shortDay(String settings) {
    return BatchWriter.join(
        BatchWriter.frame(1_000_000, "0f0300", BatchWriter.hello(settings), BatchWriter.list()),
        BatchWriter.frame(1_005_000, "0f0300", "07 2900 01 0000d040 01"),
        BatchWriter.frame(
            2_005_000,
            "0f0300",
            "0a 0e000000 01000000 40420f00 00 0a124a07 5b1b 7abc0000 01 52b81e3f"),
        BatchWriter.frame(3_005_000, "0f0300", "03 0100000000000000"));
  }

  @Test
  void framesSplitAtEveryByteReadTheSame() throws Exception {
    byte[] day = shortDay(BatchWriter.SETTINGS);
    byte[] whole = run(FaastPolicy::new, day);
    assertTrue(whole.length > 100);
    for (int cut = 1; cut < day.length; cut++) {
      assertArrayEquals(whole, run(FaastPolicy::new, cutAt(day, cut)), "cut at " + cut);
    }
  }

  @Test
  void renamingEveryZoneClassAndKindChangesNoAction() throws Exception {
    String renamed =
        BatchWriter.SETTINGS
            .replace("vannes", "x1")
            .replace("lorient", "x2")
            .replace("day-view", "x3")
            .replace("fill-visit", "x4")
            .replace("three-core,four-core", "x5,x6");
    assertArrayEquals(
        run(FaastPolicy::new, shortDay(BatchWriter.SETTINGS)),
        run(FaastPolicy::new, shortDay(renamed)));
  }

  @Test
  void badInputIsNamedWithItsPlace() {
    byte[] good = shortDay(BatchWriter.SETTINGS);
    for (int cut : new int[] {5, 20, good.length - 3}) {
      SimulatorProtocolException e =
          assertThrows(
              SimulatorProtocolException.class,
              () -> run(FaastPolicy::new, Arrays.copyOf(good, cut)));
      assertTrue(e.getMessage().contains("truncated"), e.getMessage());
    }
    SimulatorProtocolException unknown =
        assertThrows(
            SimulatorProtocolException.class,
            () -> run(FaastPolicy::new, BatchWriter.frame(1, "0f0300", "63")));
    assertTrue(
        unknown.getMessage().contains("code 99") && unknown.getMessage().contains("byte 3"),
        unknown.getMessage());
    byte[] more = BatchWriter.frame(1, "0f0300", "03 4d00000000000000");
    more[4] = 3;
    assertTrue(
        assertThrows(SimulatorProtocolException.class, () -> run(FaastPolicy::new, more))
            .getMessage()
            .contains("length doesn't add up"));
    more[4] = 1;
    assertTrue(
        assertThrows(SimulatorProtocolException.class, () -> run(FaastPolicy::new, more))
            .getMessage()
            .contains("length doesn't add up"));
    assertThrows(
        SimulatorProtocolException.class,
        () -> run(FaastPolicy::new, BatchWriter.frame(1, "0f0300", "02 07 00000000")));
    assertThrows(
        SimulatorProtocolException.class,
        () -> run(FaastPolicy::new, BatchWriter.frame(1, "08 2900")));
  }

  @Test
  void anExceptionInTheModuleBecomesTheFaultAction() throws Exception {
    byte[] got =
        run(
            (s, o) -> {
              throw new IllegalStateException("no way");
            },
            BatchWriter.frame(5, "0f0300", BatchWriter.hello(BatchWriter.SETTINGS)));
    assertEquals(76, got[8 + 3]);
    assertTrue(new String(got, java.nio.charset.StandardCharsets.UTF_8).contains("no way"));
  }

  @Test
  void anInstanceIsDroppedAtPowerOff() throws Exception {
    assertEquals(List.of("onTimer 5 1"), events("03 0100000000000000", "06", "08 2900"));
    assertTrue(heard.stream().noneMatch(h -> h.startsWith("onBatchEnd")));
  }
}
