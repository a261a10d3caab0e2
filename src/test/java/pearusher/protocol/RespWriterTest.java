package pearusher.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class RespWriterTest {
  @Test
  void messageIsEncodedAsRespArray() {
    assertEquals(
        "*2\r\n$4\r\nping\r\n$3\r\n\u00e90\r\n",
        new String(RespWriter.encode(List.of("ping", "\u00e90")), StandardCharsets.UTF_8));
  }
}
