package pearusher.simulator;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/** Builder of encoded batches of events for tests, from records in hexadecimal. */
public final class BatchWriter {
  static final String SETTINGS =
      String.join(
          "\n",
          "azs=vannes,lorient",
          "ceilings.peers=true",
          "ceilings.probes=true",
          "discovery=on_request",
          "familyInfo.baseMode=1",
          "familyInfo.channelRate=3900.0",
          "familyInfo.classOwnZone=false,true",
          "familyInfo.costPerLine=0.04",
          "familyInfo.ejects=5",
          "familyInfo.emptyForUs=3100000",
          "familyInfo.fixedCost=10.0",
          "familyInfo.messagesMost=0",
          "familyInfo.messagesOverUs=10000000",
          "familyInfo.mostWaiting=5900.0",
          "familyInfo.perTry=1.2",
          "familyInfo.proxyCount=8",
          "familyInfo.pushDelayMaxUs=735000",
          "familyInfo.reportEveryUs=1000000",
          "familyInfo.reportsPerS=150.0",
          "familyInfo.shards=0",
          "familyInfo.throttleBy=per_second",
          "familyInfo.transitUs=294000",
          "familyInfo.writeClasses=false,true",
          "fees.crossZone=0.06",
          "fees.lateFail=0.05",
          "fees.probe=0.02",
          "fees.waste=0.08",
          "grades.count=2",
          "grades.0.deadlineUs=3000000",
          "grades.0.group=all",
          "grades.0.lateWorth=0.2",
          "grades.0.name=day-view",
          "grades.0.promiseUs=1200000",
          "grades.0.repeat=retryable",
          "grades.0.windowUs=5000000",
          "grades.0.worth=1.0",
          "grades.1.deadlineUs=2000000",
          "grades.1.group=zone",
          "grades.1.lateWorth=0.2",
          "grades.1.name=fill-visit",
          "grades.1.promiseUs=750000",
          "grades.1.repeat=fragile",
          "grades.1.windowUs=5000000",
          "grades.1.worth=5.0",
          "kinds=three-core,four-core",
          "myNumber=0",
          "replicasOfMe=1",
          "report.fields=utilization,outstanding",
          "report.source=on_probe",
          "rules.askWithinUs=10000000",
          "rules.coldFrom=0.18",
          "rules.drainGraceUs=3000000",
          "rules.fallUs=2000000",
          "rules.overloadFactor=2.5",
          "rules.rampTimeUs=17000000",
          "tickUs=5000",
          "weightKind=off",
          "zone=0",
          "some.newKey=whatever");

  private BatchWriter() {}

  public static byte[] hex(String text) {
    return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
  }

  public static String u32(long value) {
    return HexFormat.of()
        .formatHex(
            new byte[] {
              (byte) value, (byte) (value >> 8), (byte) (value >> 16), (byte) (value >> 24)
            });
  }

  public static String u64(long value) {
    return u32(value) + u32(value >> 32);
  }

  /** Returns a frame of records in hexadecimal, with a time in microseconds. */
  public static byte[] frame(long nowUs, String... records) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] body = hex(String.join("", records));
    out.writeBytes(hex(u32(body.length) + u32(records.length) + u64(nowUs)));
    out.writeBytes(body);
    return out.toByteArray();
  }

  static String start(String settings) {
    byte[] bytes = settings.getBytes(StandardCharsets.UTF_8);
    return "01" + u64(7) + u32(bytes.length) + HexFormat.of().formatHex(bytes);
  }

  /** Returns a cached endpoint list of two ready servers in different zones. */
  static String cachedList() {
    return "02 02 29000000 02000000"
        + "0a124a07 5b1b 00 0000 0000 01 0000803f 0000000000000000"
        + "0a9011f2 841b 01 0000 0000 01 0000c03f 20145d0000000000";
  }

  static byte[] join(byte[]... parts) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      out.writeBytes(part);
    }
    return out.toByteArray();
  }
}
