package pearusher.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;

/** Machine-readable output: one JSON value followed by a line break. */
final class JsonOutput {
  /** Callback that writes one JSON value. */
  @FunctionalInterface
  interface Body {
    void write(JsonGenerator json) throws IOException;
  }

  private JsonOutput() {}

  static void write(PrintWriter out, Body body) throws IOException {
    JsonGenerator json = new JsonFactory().createGenerator(out);
    json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    body.write(json);
    json.close();
    out.println();
    out.flush();
  }
}
