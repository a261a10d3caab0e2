package pearusher.scale;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Collects figures and prints them as {@code name value unit} lines or JSON. Only measured figures
 * are included.
 */
final class Report {
  /** One figure. */
  record Figure(String name, double value, String unit) {}

  /** A textual result, such as the limit that was reached or the cause of a failure. */
  record Remark(String name, String text) {}

  private final List<Figure> figures = new ArrayList<>();
  private final List<Remark> remarks = new ArrayList<>();

  void add(String name, double value, String unit) {
    figures.add(new Figure(name, value, unit));
  }

  void remark(String name, String text) {
    remarks.add(new Remark(name, text));
  }

  /**
   * Adds the count and, unless it is 0, the median, the 99th percentile and the maximum, each
   * divided by the divisor.
   */
  void addPercentiles(String name, Histogram histogram, double divisor, String unit) {
    add(name + "_count", (double) histogram.getTotalCount(), "1");
    if (histogram.getTotalCount() > 0) {
      add(name + "_p50", histogram.getValueAtPercentile(50) / divisor, unit);
      add(name + "_p99", histogram.getValueAtPercentile(99) / divisor, unit);
      add(name + "_max", histogram.getMaxValue() / divisor, unit);
    }
  }

  List<Figure> figures() {
    return List.copyOf(figures);
  }

  List<Remark> remarks() {
    return List.copyOf(remarks);
  }

  /** Returns a figure by its name; NaN if it was not measured. */
  double value(String name) {
    return figures.stream()
        .filter(figure -> figure.name().equals(name))
        .mapToDouble(Figure::value)
        .findFirst()
        .orElse(Double.NaN);
  }

  /** Adds all figures and remarks of another report, with a prefix before their names. */
  void addAll(String prefix, Report other) {
    other.figures.forEach(figure -> add(prefix + figure.name(), figure.value(), figure.unit()));
    other.remarks.forEach(remark -> remark(prefix + remark.name(), remark.text()));
  }

  void print(PrintStream out) {
    for (Figure figure : figures) {
      out.println(figure.name() + " " + format(figure.value()) + " " + figure.unit());
    }
    for (Remark remark : remarks) {
      out.println("# " + remark.name() + ": " + remark.text());
    }
  }

  /** Formats integers without decimals and other numbers with at least four significant digits. */
  static String format(double value) {
    if (value == Math.rint(value) && Math.abs(value) < 1e15) {
      return Long.toString((long) value);
    }
    int decimals = Math.max(0, 3 - (int) Math.floor(Math.log10(Math.abs(value))));
    return String.format(Locale.ROOT, "%." + Math.min(9, decimals) + "f", value);
  }

  void writeJson(Path file, RunDescription run) throws IOException {
    try (JsonGenerator json = new JsonFactory().createGenerator(file.toFile(), JsonEncoding.UTF8)) {
      json.useDefaultPrettyPrinter();
      json.writeStartObject();
      json.writeObjectFieldStart("run");
      for (RunOption key : RunOption.values()) {
        json.writeNumberField(key.key(), run.get(key));
      }
      json.writeEndObject();
      json.writeArrayFieldStart("figures");
      for (Figure figure : figures) {
        json.writeStartObject();
        json.writeStringField("name", figure.name());
        json.writeNumberField("value", figure.value());
        json.writeStringField("unit", figure.unit());
        json.writeEndObject();
      }
      json.writeEndArray();
      json.writeObjectFieldStart("remarks");
      for (Remark remark : remarks) {
        json.writeStringField(remark.name(), remark.text());
      }
      json.writeEndObject();
      json.writeEndObject();
    }
  }
}
