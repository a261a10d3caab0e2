package pearusher.discovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import pearusher.transport.TerminationReason;

/**
 * Established connection of an {@link HttpCall}, which writes the request and parses the response.
 * One thread at a time reads.
 */
final class HttpCallConnection extends AbstractConnection {
  private static final int READ_BUFFER_BYTES = 16 << 10;

  private final HttpCall call;
  private final HttpParser parser;

  HttpCallConnection(EndPoint endPoint, Executor executor, HttpCall call) {
    super(endPoint, executor);
    this.call = call;
    parser = new HttpParser(call);
  }

  @Override
  public void onOpen() {
    super.onOpen();
    try {
      Callback onWritten = Callback.from(() -> {}, this::endOnFailure);
      getEndPoint().write(onWritten, call.request());
      fillInterested();
    } catch (IOException e) {
      endOnFailure(e);
    }
  }

  private void endOnFailure(Throwable failure) {
    call.end(TerminationReason.ofFailure(failure));
  }

  @Override
  public void onFillable() {
    try {
      readAvailable(ByteBuffer.allocate(READ_BUFFER_BYTES));
    } catch (IOException e) {
      call.end(TerminationReason.RESET);
    } catch (RuntimeException e) {
      call.end(TerminationReason.MALFORMED);
    }
  }

  private void readAvailable(ByteBuffer buffer) throws IOException {
    while (!call.isEnded()) {
      buffer.clear().flip();
      int count = getEndPoint().fill(buffer);
      if (count < 0) {
        parser.atEOF();
        parser.parseNext(buffer);
        call.end(TerminationReason.CLOSED);
        return;
      }
      if (count == 0) {
        fillInterested();
        return;
      }
      while (buffer.hasRemaining() && !call.isEnded()) {
        parser.parseNext(buffer);
      }
    }
  }

  @Override
  protected boolean onReadTimeout(TimeoutException timeout) {
    call.end(TerminationReason.TIMED_OUT);
    return false;
  }

  @Override
  public void onFillInterestedFailed(Throwable cause) {
    if (!(cause instanceof TimeoutException)) {
      endOnFailure(cause);
    }
    super.onFillInterestedFailed(cause);
  }

  @Override
  public void onClose(Throwable cause) {
    super.onClose(cause);
    call.end(cause == null ? TerminationReason.CLOSED : TerminationReason.ofFailure(cause));
  }
}
