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
import pearusher.policy.Assigner.Probe;
import pearusher.protocol.Resp;

class EndingTest {
  private static final Map<Ending, Probe> PROBES =
      new EnumMap<>(
          Map.of(
              Ending.ANSWERED,
              Probe.OK,
              Ending.UNAVAILABLE,
              Probe.TURNED_AWAY,
              Ending.ERROR_STATUS,
              Probe.ERROR,
              Ending.REFUSED,
              Probe.DOWN,
              Ending.UNREACHABLE,
              Probe.DOWN,
              Ending.SILENT,
              Probe.NO_ANSWER,
              Ending.CLOSED,
              Probe.BROKEN,
              Ending.RESET,
              Probe.BROKEN,
              Ending.GARBAGE,
              Probe.BROKEN,
              Ending.TOO_LONG,
              Probe.BROKEN));

  @ParameterizedTest
  @EnumSource(Ending.class)
  void everyEndingIsOneOutcome(Ending ending) {
    assertEquals(PROBES.getOrDefault(ending, Probe.OTHER), ending.probe());
    assertEquals(ending == Ending.ANSWERED, ending.answered());
  }

  @Test
  void causesBecomeEndings() {
    assertEquals(Ending.ANSWERED, Ending.ofStatus(200));
    assertEquals(Ending.UNAVAILABLE, Ending.ofStatus(503));
    assertEquals(Ending.ERROR_STATUS, Ending.ofStatus(204));
    assertEquals(Ending.ERROR_STATUS, Ending.ofStatus(404));
    assertEquals(Ending.REFUSED, Ending.ofConnect(new ConnectException("Connection refused")));
    assertEquals(
        Ending.UNREACHABLE, Ending.ofConnect(new ConnectException("Connection timed out")));
    assertEquals(Ending.UNREACHABLE, Ending.ofConnect(new SocketTimeoutException("connect")));
    assertEquals(Ending.UNREACHABLE, Ending.ofConnect(new NoRouteToHostException("none")));
    assertEquals(Ending.GARBAGE, Ending.ofFault(Resp.Fault.Kind.MALFORMED));
    assertEquals(Ending.TOO_LONG, Ending.ofFault(Resp.Fault.Kind.TOO_LONG));
    assertEquals(Ending.SILENT, Ending.ofFailure(new TimeoutException()));
    assertEquals(Ending.RESET, Ending.ofFailure(new IOException("Connection reset by peer")));
    assertEquals(Ending.RESET, Ending.ofFailure(new EOFException()));
  }
}
