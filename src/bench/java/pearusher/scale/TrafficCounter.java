package pearusher.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Messages and bytes that one assigner, real or simulated, got and wrote, by kind; bytes of TCP's
 * payload.
 */
final class TrafficCounter {
  /** What is counted; {@code in}: towards the assigner. */
  enum Kind {
    LIST_WHOLE(true),
    LIST_CHANGE(true),
    LIST_BEAT(true),
    HEARD(true),
    USAGE(true),
    JOINED(true),
    APPLIED(true),
    ORDER(false),
    ORDER_LINE(false),
    ORDER_OUT(false),
    ORDER_BACK(false);

    private final boolean in;

    Kind(boolean in) {
      this.in = in;
    }

    boolean in() {
      return in;
    }
  }

  /** Figures of one kind. */
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
    Map<Kind, Count> out = new EnumMap<>(Kind.class);
    for (Kind kind : Kind.values()) {
      out.put(kind, count(kind));
    }
    return out;
  }

  static Map<Kind, Count> difference(Map<Kind, Count> later, Map<Kind, Count> earlier) {
    Map<Kind, Count> out = new EnumMap<>(Kind.class);
    later.forEach((kind, count) -> out.put(kind, count.minus(earlier.get(kind))));
    return out;
  }
}
