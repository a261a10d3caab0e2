package pearusher.transport;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeoutException;
import pearusher.policy.HealthCheckResult;
import pearusher.protocol.RespException;

/**
 * Reason why an accepted or an outgoing connection ended, with the health check result that it
 * stands for. A proxy counts as disconnected for every reason.
 */
public enum TerminationReason {
  /** A complete response of status 200. */
  COMPLETED(HealthCheckResult.OK),
  /** Status 503: the server is draining, overloaded or temporarily out of service. */
  UNAVAILABLE(HealthCheckResult.REJECTED),
  /** Any other status. */
  ERROR_STATUS(HealthCheckResult.ERROR),
  /** The connection was refused: the process is down. */
  REFUSED(HealthCheckResult.UNREACHABLE),
  /** The connection could not be established, or there is no address. */
  UNREACHABLE(HealthCheckResult.UNREACHABLE),
  /** The connection was established, but the next data did not arrive within the timeout. */
  TIMED_OUT(HealthCheckResult.TIMED_OUT),
  /**
   * The peer closed the connection without a reset: the end of a stream or a truncated response.
   */
  CLOSED(HealthCheckResult.DISCONNECTED),
  /** The peer reset the connection. */
  RESET(HealthCheckResult.DISCONNECTED),
  /** The peer sent malformed data; this side closed the connection. */
  MALFORMED(HealthCheckResult.DISCONNECTED),
  /** The peer exceeded a size limit; this side closed the connection. */
  TOO_LONG(HealthCheckResult.DISCONNECTED),
  /** The peer read too slowly and the send buffer is full; this side closed the connection. */
  SEND_BUFFER_FULL(HealthCheckResult.OTHER),
  /** An unidentified connection was closed to free its file descriptor. */
  EVICTED(HealthCheckResult.OTHER),
  /** This side no longer needed the connection and closed it. */
  CANCELLED(HealthCheckResult.OTHER);

  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  private final HealthCheckResult healthCheckResult;

  TerminationReason(HealthCheckResult healthCheckResult) {
    this.healthCheckResult = healthCheckResult;
  }

  /** Returns the result of a health check whose connection ended for this reason. */
  public HealthCheckResult healthCheckResult() {
    return healthCheckResult;
  }

  /** Returns whether a complete and successful response was received. */
  public boolean isCompleted() {
    return this == COMPLETED;
  }

  /**
   * Returns the reason for a connection that ended with a complete response.
   *
   * @param status the HTTP status of the response
   */
  public static TerminationReason ofStatus(int status) {
    return switch (status) {
      case STATUS_OK -> COMPLETED;
      case STATUS_UNAVAILABLE -> UNAVAILABLE;
      default -> ERROR_STATUS;
    };
  }

  /** Returns the reason for a connection on which the received bytes are not RESP. */
  static TerminationReason ofRespFault(RespException.Kind kind) {
    return switch (kind) {
      case MALFORMED -> MALFORMED;
      case TOO_LONG -> TOO_LONG;
    };
  }

  /**
   * Returns the reason for a connection that could not be established.
   *
   * @param failure the exception thrown while connecting
   */
  public static TerminationReason ofConnectFailure(Throwable failure) {
    // The JDK reports a connect timeout of the kernel as a ConnectException with this text.
    boolean timedOut = String.valueOf(failure.getMessage()).contains("timed out");
    return failure instanceof ConnectException && !timedOut ? REFUSED : UNREACHABLE;
  }

  /**
   * Returns the reason for an established connection that failed.
   *
   * @param failure the exception thrown while reading or writing
   */
  public static TerminationReason ofFailure(Throwable failure) {
    if (failure instanceof TimeoutException || failure instanceof SocketTimeoutException) {
      return TIMED_OUT;
    }
    return failure instanceof IOException ? RESET : CLOSED;
  }
}
