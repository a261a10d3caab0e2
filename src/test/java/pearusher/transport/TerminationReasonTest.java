package pearusher.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pearusher.policy.HealthCheckResult;
import pearusher.protocol.RespCodec;

class TerminationReasonTest {
  private static final Map<TerminationReason, HealthCheckResult> PROBES =
      new EnumMap<>(
          Map.of(
              TerminationReason.ANSWERED,
              HealthCheckResult.OK,
              TerminationReason.UNAVAILABLE,
              HealthCheckResult.TURNED_AWAY,
              TerminationReason.ERROR_STATUS,
              HealthCheckResult.ERROR,
              TerminationReason.REFUSED,
              HealthCheckResult.DOWN,
              TerminationReason.UNREACHABLE,
              HealthCheckResult.DOWN,
              TerminationReason.SILENT,
              HealthCheckResult.NO_ANSWER,
              TerminationReason.CLOSED,
              HealthCheckResult.BROKEN,
              TerminationReason.RESET,
              HealthCheckResult.BROKEN,
              TerminationReason.GARBAGE,
              HealthCheckResult.BROKEN,
              TerminationReason.TOO_LONG,
              HealthCheckResult.BROKEN));

  @ParameterizedTest
  @EnumSource(TerminationReason.class)
  void everyEndingIsOneOutcome(TerminationReason ending) {
    assertEquals(PROBES.getOrDefault(ending, HealthCheckResult.OTHER), ending.probe());
    assertEquals(ending == TerminationReason.ANSWERED, ending.answered());
  }

  @Test
  void causesBecomeEndings() {
    assertEquals(TerminationReason.ANSWERED, TerminationReason.ofStatus(200));
    assertEquals(TerminationReason.UNAVAILABLE, TerminationReason.ofStatus(503));
    assertEquals(TerminationReason.ERROR_STATUS, TerminationReason.ofStatus(204));
    assertEquals(TerminationReason.ERROR_STATUS, TerminationReason.ofStatus(404));
    assertEquals(
        TerminationReason.REFUSED,
        TerminationReason.ofConnect(new ConnectException("Connection refused")));
    assertEquals(
        TerminationReason.UNREACHABLE,
        TerminationReason.ofConnect(new ConnectException("Connection timed out")));
    assertEquals(
        TerminationReason.UNREACHABLE,
        TerminationReason.ofConnect(new SocketTimeoutException("connect")));
    assertEquals(
        TerminationReason.UNREACHABLE,
        TerminationReason.ofConnect(new NoRouteToHostException("none")));
    assertEquals(
        TerminationReason.GARBAGE, TerminationReason.ofFault(RespCodec.Fault.Kind.MALFORMED));
    assertEquals(
        TerminationReason.TOO_LONG, TerminationReason.ofFault(RespCodec.Fault.Kind.TOO_LONG));
    assertEquals(TerminationReason.SILENT, TerminationReason.ofFailure(new TimeoutException()));
    assertEquals(
        TerminationReason.RESET,
        TerminationReason.ofFailure(new IOException("Connection reset by peer")));
    assertEquals(TerminationReason.RESET, TerminationReason.ofFailure(new EOFException()));
  }
}
