package pearusher.protocol;

import java.io.ByteArrayOutputStream;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import pearusher.policy.PolicySettings;
import pearusher.policy.RequestClass;

/**
 * The messages of the sockets as small typed records: what proxies and collectors say, discovery's
 * lists, load reports and updates. Each is read from words or text once and written once. It must
 * never keep state or act: names of servers stay names here, zones and classes become positions in
 * the settings.
 */
public sealed interface Message {
  record Ping() implements Message {}

  record CollectorHello(int zone) implements Message {}

  record ProxyJoin(int proxy, int zone, double requestsPerSecond, boolean fresh)
      implements Message {}

  record Acknowledgement(int proxy, int number, long tookUs) implements Message {}

  record LoadReport(
      int zone, String server, long attempts, long failed, long meanUs, long spanUs, float[] load)
      implements Message {}

  record UsageReport(int proxy, int requestClass, long requests, long failed, long spanUs)
      implements Message {}

  /** A message that can't be used; the text names the value. */
  final class Fault extends Exception {
    private static final long serialVersionUID = 1L;

    public Fault(String text) {
      super(text);
    }
  }

  /**
   * Beyond these no report makes sense: periods that one covers, tries a second, times in
   * milliseconds.
   */
  int MAX_PERIODS = 100;

  double MAX_PER_SECOND = 1e5;
  double MAX_MILLIS = 600_000;
  int MAX_ACK_NUMBER = 65_535;

  /**
   * Reads one message; names and values that it doesn't need are passed over. Guards against spoilt
   * reports that can be read: a figure that can't be would stay in the module's means for many
   * periods.
   */
  static Message decode(List<String> words, WireNames names, PolicySettings settings) throws Fault {
    if (words.size() % 2 == 0) {
      throw new Fault("an odd number of fields after '" + brief(words.get(0)) + "'");
    }
    Fields at = new Fields(words, names, settings.proxies());
    return switch (words.get(0)) {
      case "ping" -> new Ping();
      case "collector" -> new CollectorHello(at.zone());
      case "joined" ->
          new ProxyJoin(at.proxy(), at.zone(), at.real("weight", MAX_PER_SECOND), at.flag("fresh"));
      case "applied" ->
          new Acknowledgement(
              at.proxy(), (int) at.whole("mark", MAX_ACK_NUMBER), at.us("took_ms", MAX_MILLIS));
      case "usage" -> {
        long span = at.span(settings);
        long tries = at.tries(span);
        // Those that failed may have come in the period before: they can be more than came.
        yield new UsageReport(
            at.proxy(), at.grade(), tries, at.whole("failed", MAX_PER_SECOND), span);
      }
      case "heard" -> {
        long span = at.span(settings);
        long tries = at.tries(span);
        long failed = at.whole("failed", (double) tries);
        // No client waits longer than the longest of its times, so no good answer took twice that.
        long longest =
            settings.requestClasses().stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
        yield new LoadReport(
            at.zone(),
            at.need("server"),
            tries,
            failed,
            failed < tries ? at.us("mean_ms", 2e-3 * longest) : 0,
            span,
            at.load(at.values.getOrDefault("load", "")));
      }
      default -> throw new Fault("an unknown kind '" + brief(words.get(0)) + "'");
    };
  }

  /** A decimal number: Java's own reader takes words and other bases too. */
  private static double number(String text) {
    for (int k = 0; k < text.length(); k++) {
      if ("0123456789.+-eE".indexOf(text.charAt(k)) < 0) {
        throw new NumberFormatException(text);
      }
    }
    return Double.parseDouble(text);
  }

  static String brief(String text) {
    return text.length() > 40 ? text.substring(0, 40) + "..." : text;
  }

  /**
   * A load report's values in the order of the settings, by PROTOCOL's names or the settings': 0
   * for one that is missing, none at all for no report; unknown ones are passed over.
   */
  static float[] decodeLoad(String text, String pair, WireNames names) {
    Map<String, Float> values = new HashMap<>();
    for (String part : text.split(",")) {
      String[] sides = part.trim().split(pair, 2);
      try {
        float value = sides.length == 2 ? Float.parseFloat(sides[1].trim()) : Float.NaN;
        if (Float.isFinite(value)) {
          values.put(WireNames.canonicalMetric(sides[0].trim()), value);
        }
      } catch (NumberFormatException e) {
        values.remove(sides[0].trim());
      }
    }
    if (values.isEmpty()) {
      return new float[0];
    }
    float[] out = new float[names.loadMetrics().size()];
    for (int k = 0; k < out.length; k++) {
      out[k] = values.getOrDefault(names.loadMetrics().get(k), 0f);
    }
    return out;
  }

  /** A probe's body: the word TEXT, then pairs. */
  static float[] decodeHealthCheckLoad(byte[] body, WireNames names) {
    String text = new String(body, StandardCharsets.UTF_8).trim();
    return decodeLoad(text.startsWith("TEXT") ? text.substring(4) : "", "=", names);
  }

  /** The values of a message by name; of a name that stands twice the last counts. */
  final class Fields {
    private final Map<String, String> values = new HashMap<>();
    private final WireNames names;
    private final int proxies;

    private Fields(List<String> words, WireNames names, int proxies) {
      this.names = names;
      this.proxies = proxies;
      for (int k = 1; k < words.size(); k += 2) {
        values.put(words.get(k), words.get(k + 1));
      }
    }

    private String need(String key) throws Fault {
      String value = values.get(key);
      if (value == null) {
        throw new Fault("the value " + key + " is missing");
      }
      return value;
    }

    private double real(String key, double most) throws Fault {
      String value = need(key);
      try {
        double out = number(value);
        if (out >= 0 && out <= most) {
          return out;
        }
      } catch (NumberFormatException e) {
        throw new Fault("the value " + key + " is unreadable: '" + brief(value) + "'");
      }
      throw new Fault("the value " + key + " is out of range: '" + brief(value) + "'");
    }

    private long whole(String key, double most) throws Fault {
      double out = real(key, most);
      if (out != Math.rint(out)) {
        throw new Fault("the value " + key + " is not a whole number: '" + brief(need(key)) + "'");
      }
      return (long) out;
    }

    private long us(String key, double mostMs) throws Fault {
      return Math.round(real(key, mostMs) * 1000);
    }

    private long span(PolicySettings settings) throws Fault {
      long out = us("span_ms", 1e-3 * MAX_PERIODS * settings.controlPeriodUs());
      if (out <= 0) {
        throw new Fault("the value span_ms is out of range: '" + brief(need("span_ms")) + "'");
      }
      return out;
    }

    private long tries(long spanUs) throws Fault {
      return whole("tries", MAX_PER_SECOND * Math.max(1, spanUs / 1e6));
    }

    /** The load report of a message: a spoilt one spoils its message. */
    private float[] load(String text) throws Fault {
      for (String part : text.isEmpty() ? new String[0] : text.split(",", -1)) {
        int colon = part.indexOf(':');
        try {
          if (colon > 0 && number(part.substring(colon + 1).trim()) >= 0) {
            continue;
          }
        } catch (NumberFormatException e) {
          throw new Fault("the value load is unreadable: '" + brief(text) + "'");
        }
        throw new Fault("the value load is out of range: '" + brief(text) + "'");
      }
      return Message.decodeLoad(text, ":", names);
    }

    private boolean flag(String key) throws Fault {
      String value = need(key);
      if (!value.equals("1") && !value.equals("0")) {
        throw new Fault("the value " + key + " is neither 0 nor 1: '" + brief(value) + "'");
      }
      return value.equals("1");
    }

    private int proxy() throws Fault {
      long out = whole("proxy", Integer.MAX_VALUE);
      if (out >= proxies) {
        throw new Fault("the proxy " + out + " is not known");
      }
      return (int) out;
    }

    private int place(String key, Map<String, Integer> of) throws Fault {
      Integer out = of.get(need(key));
      if (out == null) {
        throw new Fault("the " + key + " '" + brief(need(key)) + "' is not known");
      }
      return out;
    }

    private int zone() throws Fault {
      return place("zone", names.zones());
    }

    private int grade() throws Fault {
      return place("class", names.classIndex());
    }
  }

  /** The bytes of one message to a proxy. */
  static byte[] encodeUpdate(List<UpdatePart> parts) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    for (int k = 0; k < parts.size(); k++) {
      UpdatePart part = parts.get(k);
      List<String> words = new ArrayList<>(List.of("update"));
      if (part.classes() != null) {
        words.addAll(List.of("classes", String.join("+", part.classes())));
      }
      if (part.replacesTable()) {
        words.addAll(List.of("whole", "1"));
      }
      if (!part.weights().isEmpty()) {
        StringJoiner lines = new StringJoiner(",");
        part.weights().forEach((server, weight) -> lines.add(server + ":" + formatDecimal(weight)));
        words.addAll(List.of("lines", lines.toString()));
      }
      if (part.admission() != null) {
        words.addAll(
            List.of(
                "level",
                formatDecimal(part.admission().probabilityOrRate()),
                "retry",
                Integer.toString(part.admission().retry())));
      }
      if (!part.ejected().isEmpty()) {
        words.addAll(List.of("out", String.join(",", part.ejected())));
      }
      if (!part.reinstated().isEmpty()) {
        words.addAll(List.of("back", String.join(",", part.reinstated())));
      }
      if (part.ackNumber() >= 0) {
        words.addAll(List.of("ticket", Integer.toString(part.ackNumber())));
      }
      if (k < parts.size() - 1) {
        words.addAll(List.of("more", "1"));
      }
      out.writeBytes(RespCodec.encode(words));
    }
    return out.toByteArray();
  }

  /** A figure with the simulator's precision and without an exponent. */
  static String formatDecimal(double value) {
    return new BigDecimal(Float.toString((float) value)).toPlainString();
  }
}
