package pearusher.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the messages of one assigner, real or simulated, and their bytes of TCP payload, by kind.
 * Thread-safe.
 */
final class TrafficCounter {
  /** The kind of a message. Inbound messages are sent to the assigner. */
  enum Kind {
    FULL_LIST("list_whole", true),
    LIST_CHANGE("list_change", true),
    LIST_HEARTBEAT("list_beat", true),
    LOAD_REPORT("heard", true),
    USAGE_REPORT("usage", true),
    PROXY_JOIN("joined", true),
    ACKNOWLEDGEMENT("applied", true),
    UPDATE("order", false),
    WEIGHT_ENTRY("order_line", false),
    EJECTION("order_out", false),
    REINSTATEMENT("order_back", false);

    private final String figureName;
    private final boolean isInbound;

    Kind(String figureName, boolean isInbound) {
      this.figureName = figureName;
      this.isInbound = isInbound;
    }

    /** Returns the name of the kind in figures, prefixed with the direction. */
    String figureName() {
      return (isInbound ? "in." : "out.") + figureName;
    }

    boolean isInbound() {
      return isInbound;
    }
  }

  /** The number of messages of one kind and of their bytes. */
  record Count(long messages, long bytes) {
    Count minus(Count earlier) {
      return new Count(messages - earlier.messages, bytes - earlier.bytes);
    }

    Count plus(Count other) {
      return new Count(messages + other.messages, bytes + other.bytes);
    }
  }

  private final Map<Kind, LongAdder> messages = new EnumMap<>(Kind.class);
  private final Map<Kind, LongAdder> bytes = new EnumMap<>(Kind.class);

  TrafficCounter() {
    for (Kind kind : Kind.values()) {
      messages.put(kind, new LongAdder());
      bytes.put(kind, new LongAdder());
    }
  }

  void add(Kind kind, long moreMessages, long moreBytes) {
    messages.get(kind).add(moreMessages);
    bytes.get(kind).add(moreBytes);
  }

  Count count(Kind kind) {
    return new Count(messages.get(kind).sum(), bytes.get(kind).sum());
  }

  Map<Kind, Count> snapshot() {
    Map<Kind, Count> counts = new EnumMap<>(Kind.class);
    for (Kind kind : Kind.values()) {
      counts.put(kind, count(kind));
    }
    return counts;
  }

  static Map<Kind, Count> difference(Map<Kind, Count> later, Map<Kind, Count> earlier) {
    Map<Kind, Count> differences = new EnumMap<>(Kind.class);
    later.forEach((kind, count) -> differences.put(kind, count.minus(earlier.get(kind))));
    return differences;
  }
}
