package pearusher.protocol;

import java.util.List;
import pearusher.policy.PolicySettings;
import pearusher.policy.RequestClass;

/**
 * Decoder of messages from proxies and collectors. Unknown fields are ignored. Implausible values
 * are rejected, since they would distort the averages of the policy for many control periods.
 * Immutable; any thread may use it.
 */
public final class MessageDecoder {
  private static final String PING = "ping";
  private static final String COLLECTOR_HELLO = "collector";
  private static final String PROXY_JOIN = "joined";
  private static final String ACKNOWLEDGEMENT = "applied";
  private static final String USAGE_REPORT = "usage";
  private static final String LOAD_REPORT = "heard";

  private static final String ACK_NUMBER = "mark";
  private static final String ATTEMPTS = "tries";
  private static final String FAILED = "failed";
  private static final String FRESH = "fresh";
  static final String LOAD = "load";
  private static final String MEAN_MS = "mean_ms";
  private static final String PROXY = "proxy";
  private static final String REQUEST_CLASS = "class";
  private static final String REQUESTS_PER_SECOND = "weight";
  private static final String SERVER = "server";
  private static final String SPAN_MS = "span_ms";
  private static final String TOOK_MS = "took_ms";
  private static final String ZONE = "zone";

  private static final int MAX_PERIODS_PER_REPORT = 100;
  private static final double MAX_PER_SECOND = 1e5;
  private static final double MAX_MILLIS = 600_000;
  private static final int MAX_ACK_NUMBER = 65_535;

  private final WireNames names;
  private final int proxyCount;
  private final double maxSpanMs;
  private final double maxMeanMs;
  private final LoadReportParser loadReports;

  /**
   * Creates a decoder.
   *
   * @param names the names that messages use
   * @param settings the settings, from which the maximum values are derived
   */
  public MessageDecoder(WireNames names, PolicySettings settings) {
    this.names = names;
    proxyCount = settings.proxies();
    maxSpanMs = 1e-3 * MAX_PERIODS_PER_REPORT * settings.controlPeriodUs();
    maxMeanMs = 2e-3 * longestDeadlineUs(settings);
    loadReports = new LoadReportParser(names);
  }

  /**
   * Returns the longest deadline of a request class. No mean response time of successful attempts
   * reaches twice this time.
   */
  private static long longestDeadlineUs(PolicySettings settings) {
    return settings.requestClasses().stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
  }

  /**
   * Decodes one message.
   *
   * @param strings the strings of the message: its kind, then alternating names and values
   * @return the message
   * @throws MalformedMessageException if the kind is unknown, a field is missing or a value is
   *     invalid
   */
  public Message decode(List<String> strings) throws MalformedMessageException {
    String kind = strings.get(0);
    if (strings.size() % 2 == 0) {
      throw new MalformedMessageException(
          "expected pairs of names and values after '"
              + FaultText.abbreviate(kind)
              + "', found an odd number of strings: "
              + (strings.size() - 1));
    }
    MessageFields fields = new MessageFields(strings);
    return switch (kind) {
      case PING -> new Message.Ping();
      case COLLECTOR_HELLO -> new Message.CollectorHello(zone(fields));
      case PROXY_JOIN -> decodeProxyJoin(fields);
      case ACKNOWLEDGEMENT -> decodeAcknowledgement(fields);
      case USAGE_REPORT -> decodeUsageReport(fields);
      case LOAD_REPORT -> decodeLoadReport(fields);
      default ->
          throw new MalformedMessageException(
              "unknown kind of message '" + FaultText.abbreviate(kind) + "'");
    };
  }

  private Message decodeProxyJoin(MessageFields fields) throws MalformedMessageException {
    return new Message.ProxyJoin(
        proxy(fields),
        zone(fields),
        fields.requireNumber(REQUESTS_PER_SECOND, MAX_PER_SECOND),
        fields.requireFlag(FRESH));
  }

  private Message decodeAcknowledgement(MessageFields fields) throws MalformedMessageException {
    return new Message.Acknowledgement(
        proxy(fields),
        (int) fields.requireInteger(ACK_NUMBER, MAX_ACK_NUMBER),
        fields.requireMicros(TOOK_MS, MAX_MILLIS));
  }

  private Message decodeUsageReport(MessageFields fields) throws MalformedMessageException {
    long spanUs = spanUs(fields);
    long requests = attempts(fields, spanUs);
    return new Message.UsageReport(
        proxy(fields),
        fields.requireIndex(REQUEST_CLASS, names.classIndex()),
        requests,
        fields.requireInteger(FAILED, MAX_PER_SECOND),
        spanUs);
  }

  private Message decodeLoadReport(MessageFields fields) throws MalformedMessageException {
    long spanUs = spanUs(fields);
    long attempts = attempts(fields, spanUs);
    long failed = fields.requireInteger(FAILED, (double) attempts);
    return new Message.LoadReport(
        zone(fields),
        fields.require(SERVER),
        attempts,
        failed,
        failed < attempts ? fields.requireMicros(MEAN_MS, maxMeanMs) : 0,
        spanUs,
        loadReports.parseField(fields.getOrEmpty(LOAD)));
  }

  private int proxy(MessageFields fields) throws MalformedMessageException {
    long proxy = fields.requireInteger(PROXY, Integer.MAX_VALUE);
    if (proxy >= proxyCount) {
      throw new MalformedMessageException(
          "unknown proxy " + proxy + ", expected 0 to " + (proxyCount - 1));
    }
    return (int) proxy;
  }

  private int zone(MessageFields fields) throws MalformedMessageException {
    return fields.requireIndex(ZONE, names.zones());
  }

  private long spanUs(MessageFields fields) throws MalformedMessageException {
    long spanUs = fields.requireMicros(SPAN_MS, maxSpanMs);
    if (spanUs <= 0) {
      throw MessageFields.fault(SPAN_MS, "is not more than 0", fields.require(SPAN_MS));
    }
    return spanUs;
  }

  private long attempts(MessageFields fields, long spanUs) throws MalformedMessageException {
    return fields.requireInteger(ATTEMPTS, MAX_PER_SECOND * Math.max(1, spanUs / 1e6));
  }
}
