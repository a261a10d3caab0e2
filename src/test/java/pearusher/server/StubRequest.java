package pearusher.server;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Request received by an {@link HttpStub}; the test writes the response. */
public record StubRequest(String path, Socket socket) {
  /** Writes text to the connection without any framing. */
  public void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  /** Writes a complete response. */
  public void respond(int status, String body) throws IOException {
    write("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Writes the header of a chunked response, which starts a watch. */
  public void startWatch() throws IOException {
    write(
        "HTTP/1.1 200 OK\r\n"
            + "Content-Type: application/json\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n");
  }

  /** Writes a line of a watch as one chunk. */
  public void writeLine(String text) throws IOException {
    write(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
  }

  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }
}
