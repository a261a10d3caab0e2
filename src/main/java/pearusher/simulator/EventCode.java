package pearusher.simulator;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Record codes of a batch of events. The first byte of each record is its code. */
enum EventCode {
  START(1),
  ENDPOINT_LIST(2),
  TIMER(3),
  HEALTH_CHECK_RESULT(4),
  PEER_MESSAGE(5),
  STOP(6),
  PROXY_JOINED(7),
  PROXY_LEFT(8),
  ACKNOWLEDGEMENT(9),
  LOAD_REPORT(10),
  USAGE_REPORT(11),
  SLICE_USAGE_REPORT(12),
  SLICE_ASSIGNMENT(13),
  SLICE_WEIGHT(14),
  /** Selects the instance of the records that follow. */
  INSTANCE(15);

  private static final Map<Integer, EventCode> BY_VALUE =
      Arrays.stream(values())
          .collect(Collectors.toUnmodifiableMap(code -> code.value, Function.identity()));

  private final int value;

  EventCode(int value) {
    this.value = value;
  }

  static Optional<EventCode> of(int value) {
    return Optional.ofNullable(BY_VALUE.get(value));
  }
}
