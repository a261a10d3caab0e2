package pearusher.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tinylog.Logger;
import pearusher.config.SocketAddresses;
import pearusher.transport.TerminationReason;

/**
 * One GET request and its response, on a separate connection. A call ends exactly once, with a
 * {@link TerminationReason}, and is never retried. The thread of the connection parses the
 * response; any thread may end the call.
 */
abstract class HttpCall implements HttpParser.ResponseHandler {
  private static final int MAX_REQUEST_BYTES = 2048;

  private final HttpConnector connector;
  private final String path;
  private final String acceptedType;
  private String host;
  private Scheduler.Task deadline;
  private SocketChannel channel;
  private volatile EndPoint endPoint;
  private int status;
  private boolean ended;

  /**
   * Creates a call without starting it.
   *
   * @param connector opens the connection
   * @param path the path to request
   * @param acceptedType the media type to accept
   */
  HttpCall(HttpConnector connector, String path, String acceptedType) {
    this.connector = connector;
    this.path = path;
    this.acceptedType = acceptedType;
  }

  /** Processes the status and the headers of the response; does nothing by default. */
  void onHeaders(int responseStatus) {}

  /** Processes a part of the body; the buffer need not be consumed. */
  abstract void onContent(int responseStatus, ByteBuffer content);

  /** Processes the end of a response with status 200; returns the reason for ending the call. */
  abstract TerminationReason onSuccess();

  /** Reports the end of the call. Called exactly once. */
  abstract void onEnd(TerminationReason reason);

  /**
   * Starts the call.
   *
   * @param address the address to connect to
   * @param timeoutMs the timeout for connecting and the response in milliseconds, which {@link
   *     #setDeadline} may replace
   */
  final void start(InetSocketAddress address, long timeoutMs) {
    host = SocketAddresses.format(address);
    setDeadline(timeoutMs);
    connector.open(this, address);
  }

  /** Sets the deadline of the call, in milliseconds from now, in place of an earlier one. */
  final synchronized void setDeadline(long timeoutMs) {
    if (deadline != null) {
      deadline.cancel();
    }
    if (!ended) {
      deadline =
          connector
              .getScheduler()
              .schedule(() -> end(TerminationReason.TIMED_OUT), timeoutMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Ends the call, closes the connection and reports the reason, unless the call has ended. */
  final void end(TerminationReason reason) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      if (deadline != null) {
        deadline.cancel();
      }
    }
    connector.getExecutor().execute(this::disconnect);
    onEnd(reason);
  }

  final synchronized boolean isEnded() {
    return ended;
  }

  private void disconnect() {
    EndPoint connected = endPoint;
    try {
      if (connected != null) {
        connected.close();
      }
      synchronized (this) {
        if (channel != null) {
          channel.close();
        }
      }
    } catch (IOException e) {
      Logger.debug(e);
    }
  }

  /** Sets the channel, which the call closes at its end; returns false if the call has ended. */
  final synchronized boolean attach(SocketChannel opened) {
    if (ended) {
      return false;
    }
    channel = opened;
    return true;
  }

  final void onConnected(EndPoint connected) {
    endPoint = connected;
  }

  /** Returns the encoded request. */
  final ByteBuffer request() throws IOException {
    HttpFields fields =
        HttpFields.build().put(HttpHeader.HOST, host).put(HttpHeader.ACCEPT, acceptedType);
    MetaData.Request request =
        new MetaData.Request("GET", HttpURI.from(path), HttpVersion.HTTP_1_1, fields, 0);
    ByteBuffer bytes = ByteBuffer.allocate(MAX_REQUEST_BYTES);
    bytes.flip();
    new HttpGenerator().generateRequest(request, bytes, null, null, true);
    return bytes;
  }

  @Override
  public final void startResponse(HttpVersion version, int responseStatus, String reason) {
    status = responseStatus;
  }

  @Override
  public final void parsedHeader(HttpField field) {}

  @Override
  public final boolean headerComplete() {
    onHeaders(status);
    return false;
  }

  @Override
  public final boolean content(ByteBuffer content) {
    onContent(status, content);
    content.position(content.limit());
    return false;
  }

  @Override
  public final boolean contentComplete() {
    return false;
  }

  @Override
  public final boolean messageComplete() {
    if (!isEnded()) {
      TerminationReason reason = TerminationReason.ofStatus(status);
      end(reason.isCompleted() ? onSuccess() : reason);
    }
    return true;
  }

  @Override
  public final void earlyEOF() {
    end(TerminationReason.CLOSED);
  }

  @Override
  public final void badMessage(HttpException failure) {
    end(TerminationReason.MALFORMED);
  }
}
