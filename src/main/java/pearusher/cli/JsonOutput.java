package pearusher.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;

/** Output that programs read: one JSON value and a line's end. */
final class JsonOutput {
  interface Body {
    void write(JsonGenerator to) throws IOException;
  }

  private JsonOutput() {}

  static void write(PrintWriter out, Body body) throws IOException {
    JsonGenerator to = new JsonFactory().createGenerator(out);
    to.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
    body.write(to);
    to.close();
    out.println();
    out.flush();
  }
}
