package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing of load reports in messages and in responses to health checks. */
class LoadReportParserTest {
  private final WireNames names =
      new WireNames(Map.of(), List.of(), Map.of(), Map.of(), List.of("util", "inflight"));

  @ParameterizedTest
  @CsvSource({
    "util:0.5,'0.5,0'",
    "'inflight:3','0,3'",
    "'qps:9,inflight:3,util:x','0,3'",
    "'queue:9','0,0'",
    "'',''",
    "'nonsense',''",
    "'util:NaN',''",
    "'util:0.5,queue:1,util:0.7','0.7,0'",
    "'util:0.5,util:x,queue:1','0,0'",
    "' util : 0.5 ,,inflight:3,','0.5,3'"
  })
  void metricsAreParsedByName(String load, String expected) {
    StringBuilder actual = new StringBuilder();
    for (float value :
        new LoadReportParser(names).parsePairs(load, LoadReportParser.FIELD_VALUE_SEPARATOR)) {
      actual
          .append(actual.length() > 0 ? "," : "")
          .append(value == Math.rint(value) ? "" + (int) value : "" + value);
    }
    assertEquals(expected, actual.toString());
  }

  @Test
  void healthCheckBodyIsParsed() {
    assertArrayEquals(new float[] {0.61f, 7}, parseBody("TEXT inflight=7, queue=2, util=0.61\n"));
    assertArrayEquals(
        parseBody("TEXT inflight=7, util=0.61"),
        parseBody("TEXT outstanding=7, utilization=0.61"),
        "names from the settings are accepted too");
    assertArrayEquals(new float[0], parseBody("<html>"));
    assertArrayEquals(new float[0], parseBody(""));
  }

  private float[] parseBody(String body) {
    return new LoadReportParser(names).parseHealthCheckBody(body.getBytes(StandardCharsets.UTF_8));
  }
}
