package pearusher.protocol;

import java.util.List;
import pearusher.policy.PolicySettings;
import pearusher.policy.RequestClass;

/**
 * Decodes the messages of proxies and collectors. Unknown fields are ignored. Values that can be
 * read but cannot be true are rejected, since they would distort the policy's averages for many
 * control periods. Immutable; any thread may use it.
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
   * @param settings the settings, from which the limits of values follow
   */
  public MessageDecoder(WireNames names, PolicySettings settings) {
    this.names = names;
    proxyCount = settings.proxies();
    maxSpanMs = 1e-3 * MAX_PERIODS_PER_REPORT * settings.controlPeriodUs();
    maxMeanMs = 2e-3 * longestDeadlineUs(settings);
    loadReports = new LoadReportParser(names);
  }

  /** Returns the longest time that a client waits: no mean of good responses is twice as long. */
  private static long longestDeadlineUs(PolicySettings settings) {
    return settings.requestClasses().stream().mapToLong(RequestClass::deadlineUs).max().orElse(0);
  }

  /**
   * Decodes one message.
   *
   * @param strings its strings: the kind, then names and values in turn
   * @return the message
   * @throws MalformedMessageException if the kind is unknown, or a field is missing or unusable
   */
  public Message decode(List<String> strings) throws MalformedMessageException {
    String kind = strings.get(0);
    if (strings.size() % 2 == 0) {
      throw new MalformedMessageException(
          "an odd number of fields after '" + FaultText.abbreviate(kind) + "'");
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
              "an unknown kind '" + FaultText.abbreviate(kind) + "'");
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
      throw new MalformedMessageException("the proxy " + proxy + " is not known");
    }
    return (int) proxy;
  }

  private int zone(MessageFields fields) throws MalformedMessageException {
    return fields.requireIndex(ZONE, names.zones());
  }

  private long spanUs(MessageFields fields) throws MalformedMessageException {
    long spanUs = fields.requireMicros(SPAN_MS, maxSpanMs);
    if (spanUs <= 0) {
      throw MessageFields.outOfRange(SPAN_MS, fields.require(SPAN_MS));
    }
    return spanUs;
  }

  private long attempts(MessageFields fields, long spanUs) throws MalformedMessageException {
    return fields.requireInteger(ATTEMPTS, MAX_PER_SECOND * Math.max(1, spanUs / 1e6));
  }
}
