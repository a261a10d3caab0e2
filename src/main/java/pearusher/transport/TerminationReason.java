package pearusher.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeoutException;
import pearusher.policy.HealthCheckResult;
import pearusher.protocol.RespException;

/**
 * The reasons why a connection, of either side, can end, and what each means for a health check.
 * The stream of a proxy has left whatever the reason.
 */
public enum TerminationReason {
  /** A complete response of status 200. */
  COMPLETED(HealthCheckResult.OK),
  /** Status 503: the server is draining, overloaded or out of service for now. */
  UNAVAILABLE(HealthCheckResult.REJECTED),
  /** Any other status. */
  ERROR_STATUS(HealthCheckResult.ERROR),
  /** The connection was refused: the process is down. */
  REFUSED(HealthCheckResult.UNREACHABLE),
  /** The connection never came up, or there is no address. */
  UNREACHABLE(HealthCheckResult.UNREACHABLE),
  /** The connection was up, and nothing more came within the timeout. */
  TIMED_OUT(HealthCheckResult.TIMED_OUT),
  /** The peer closed in order: the normal end of a stream, or a truncated response. */
  CLOSED(HealthCheckResult.DISCONNECTED),
  /** The peer reset the connection. */
  RESET(HealthCheckResult.DISCONNECTED),
  /** What the peer sent cannot be parsed; this side closed. */
  MALFORMED(HealthCheckResult.DISCONNECTED),
  /** The peer sent more than is allowed; this side closed. */
  TOO_LONG(HealthCheckResult.DISCONNECTED),
  /** The peer left too much unread; this side closed. */
  SEND_BUFFER_FULL(HealthCheckResult.OTHER),
  /** An unidentified connection was closed for its descriptor. */
  EVICTED(HealthCheckResult.OTHER),
  /** This side no longer needs the connection. */
  CANCELLED(HealthCheckResult.OTHER);

  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  private final HealthCheckResult healthCheckResult;

  TerminationReason(HealthCheckResult healthCheckResult) {
    this.healthCheckResult = healthCheckResult;
  }

  /** Returns the result of a health check whose connection ended so. */
  public HealthCheckResult healthCheckResult() {
    return healthCheckResult;
  }

  /** Returns whether a complete and successful response was received. */
  public boolean isCompleted() {
    return this == COMPLETED;
  }

  /**
   * Returns the reason that a complete response stands for.
   *
   * @param status the status of the response
   */
  public static TerminationReason ofStatus(int status) {
    return switch (status) {
      case STATUS_OK -> COMPLETED;
      case STATUS_UNAVAILABLE -> UNAVAILABLE;
      default -> ERROR_STATUS;
    };
  }

  /** Returns the reason that bytes stand for which are no RESP message. */
  static TerminationReason ofRespFault(RespException.Kind kind) {
    return switch (kind) {
      case MALFORMED -> MALFORMED;
      case TOO_LONG -> TOO_LONG;
    };
  }

  /**
   * Returns the reason that a failure to connect stands for.
   *
   * @param failure what was thrown while connecting
   */
  public static TerminationReason ofConnectFailure(Throwable failure) {
    // The JDK reports a timeout by the kernel as a refusal with this text.
    boolean timedOut = String.valueOf(failure.getMessage()).contains("timed out");
    return failure instanceof ConnectException && !timedOut ? REFUSED : UNREACHABLE;
  }

  /**
   * Returns the reason that a failure on an established connection stands for.
   *
   * @param failure what was thrown while reading or writing
   */
  public static TerminationReason ofFailure(Throwable failure) {
    if (failure instanceof TimeoutException || failure instanceof SocketTimeoutException) {
      return TIMED_OUT;
    }
    return failure instanceof IOException ? RESET : CLOSED;
  }
}
