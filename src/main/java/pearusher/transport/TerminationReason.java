package pearusher.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeoutException;
import pearusher.policy.HealthCheckResult;
import pearusher.protocol.RespException;

/**
 * Every way in which a connection can end, on either side, and what it means to the module: for a
 * probe by {@link #healthCheckResult}, for discovery by {@link #isCompleted}; a proxy's stream has
 * been left in every case. This is the one place of that mapping. It must never tell when to try
 * again.
 */
public enum TerminationReason {
  /** An answer of status 200, whole. */
  COMPLETED(HealthCheckResult.OK),
  /** Status 503: draining, too busy or out of service for now. */
  UNAVAILABLE(HealthCheckResult.REJECTED),
  /** Any other status. */
  ERROR_STATUS(HealthCheckResult.ERROR),
  /** The connection was refused: the process is down. */
  REFUSED(HealthCheckResult.UNREACHABLE),
  /** The connection never came up, or nobody knows the way. */
  UNREACHABLE(HealthCheckResult.UNREACHABLE),
  /** Connected, and nothing more came within the time-out. */
  TIMED_OUT(HealthCheckResult.TIMED_OUT),
  /** The other end closed in order: the normal end of a stream, or an answer that broke off. */
  CLOSED(HealthCheckResult.DISCONNECTED),
  /** The other end reset. */
  RESET(HealthCheckResult.DISCONNECTED),
  /** What came can't be read; this side closed. */
  MALFORMED(HealthCheckResult.DISCONNECTED),
  /** More came than is allowed; this side closed. */
  TOO_LONG(HealthCheckResult.DISCONNECTED),
  /** The other end left too much unread; this side closed. */
  SEND_BUFFER_FULL(HealthCheckResult.OTHER),
  /** An unidentified connection that said nothing, closed for its descriptor. */
  EVICTED(HealthCheckResult.OTHER),
  /** This side wanted it no more. */
  CANCELLED(HealthCheckResult.OTHER);

  private final HealthCheckResult probe;

  TerminationReason(HealthCheckResult probe) {
    this.probe = probe;
  }

  public HealthCheckResult healthCheckResult() {
    return probe;
  }

  public boolean isCompleted() {
    return this == COMPLETED;
  }

  public static TerminationReason ofStatus(int status) {
    return status == 200 ? COMPLETED : status == 503 ? UNAVAILABLE : ERROR_STATUS;
  }

  /** What is wrong with the bytes that came. */
  static TerminationReason ofFault(RespException.Kind kind) {
    return switch (kind) {
      case MALFORMED -> MALFORMED;
      case TOO_LONG -> TOO_LONG;
    };
  }

  /** What failed while connecting. */
  public static TerminationReason ofConnect(Throwable failure) {
    boolean late = String.valueOf(failure.getMessage()).contains("timed out");
    return failure instanceof ConnectException && !late ? REFUSED : UNREACHABLE;
  }

  /** What failed on a connection that was up. */
  public static TerminationReason ofFailure(Throwable failure) {
    return failure instanceof TimeoutException || failure instanceof SocketTimeoutException
        ? TIMED_OUT
        : failure instanceof IOException ? RESET : CLOSED;
  }
}
