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
import pearusher.protocol.RespException;

/**
 * Mapping of failures to termination reasons, and of those to health check results. Guards against
 * health checks that report a wrong result to the policy.
 */
class TerminationReasonTest {
  private static final Map<TerminationReason, HealthCheckResult> HEALTH_CHECK_RESULTS =
      new EnumMap<>(
          Map.of(
              TerminationReason.COMPLETED,
              HealthCheckResult.OK,
              TerminationReason.UNAVAILABLE,
              HealthCheckResult.REJECTED,
              TerminationReason.ERROR_STATUS,
              HealthCheckResult.ERROR,
              TerminationReason.REFUSED,
              HealthCheckResult.UNREACHABLE,
              TerminationReason.UNREACHABLE,
              HealthCheckResult.UNREACHABLE,
              TerminationReason.TIMED_OUT,
              HealthCheckResult.TIMED_OUT,
              TerminationReason.CLOSED,
              HealthCheckResult.DISCONNECTED,
              TerminationReason.RESET,
              HealthCheckResult.DISCONNECTED,
              TerminationReason.MALFORMED,
              HealthCheckResult.DISCONNECTED,
              TerminationReason.TOO_LONG,
              HealthCheckResult.DISCONNECTED));

  @ParameterizedTest
  @EnumSource(TerminationReason.class)
  void everyReasonHasOneHealthCheckResult(TerminationReason reason) {
    assertEquals(
        HEALTH_CHECK_RESULTS.getOrDefault(reason, HealthCheckResult.OTHER),
        reason.healthCheckResult());
    assertEquals(reason == TerminationReason.COMPLETED, reason.isCompleted());
  }

  @Test
  void statusesAndFailuresAreMappedToReasons() {
    assertEquals(TerminationReason.COMPLETED, TerminationReason.ofStatus(200));
    assertEquals(TerminationReason.UNAVAILABLE, TerminationReason.ofStatus(503));
    assertEquals(TerminationReason.ERROR_STATUS, TerminationReason.ofStatus(204));
    assertEquals(TerminationReason.ERROR_STATUS, TerminationReason.ofStatus(404));
    assertEquals(
        TerminationReason.REFUSED,
        TerminationReason.ofConnectFailure(new ConnectException("Connection refused")));
    assertEquals(
        TerminationReason.UNREACHABLE,
        TerminationReason.ofConnectFailure(new ConnectException("Connection timed out")));
    assertEquals(
        TerminationReason.UNREACHABLE,
        TerminationReason.ofConnectFailure(new SocketTimeoutException("connect")));
    assertEquals(
        TerminationReason.UNREACHABLE,
        TerminationReason.ofConnectFailure(new NoRouteToHostException("none")));
    assertEquals(
        TerminationReason.MALFORMED, TerminationReason.ofRespFault(RespException.Kind.MALFORMED));
    assertEquals(
        TerminationReason.TOO_LONG, TerminationReason.ofRespFault(RespException.Kind.TOO_LONG));
    assertEquals(TerminationReason.TIMED_OUT, TerminationReason.ofFailure(new TimeoutException()));
    assertEquals(
        TerminationReason.RESET,
        TerminationReason.ofFailure(new IOException("Connection reset by peer")));
    assertEquals(TerminationReason.RESET, TerminationReason.ofFailure(new EOFException()));
  }
}
