package pearusher.server;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Connection to an assigner that sends messages for a test and records received messages. */
class RespClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 5000;

  final Socket socket = new Socket();

  /** Received messages, each as a list of its strings. */
  final List<List<String>> received = new CopyOnWriteArrayList<>();

  /** Whether reading ended because the connection was closed or reset. */
  volatile boolean isEnded;

  RespClient(InetSocketAddress to) throws IOException {
    socket.connect(to, CONNECT_TIMEOUT_MS);
  }

  /** Starts reading on a separate daemon thread. */
  RespClient startReading() {
    Thread reader = new Thread(this::readUntilEnd);
    reader.setDaemon(true);
    reader.start();
    return this;
  }

  private void readUntilEnd() {
    try {
      while (true) {
        List<String> words = readMessage(socket.getInputStream());
        received.add(words);
        onMessage(words);
      }
    } catch (IOException e) {
      isEnded = true;
    }
  }

  /** Handles a received message; called on the reading thread. */
  void onMessage(List<String> words) throws IOException {}

  /** Sends a message given as a line of strings separated by spaces. */
  void send(String line) throws IOException {
    send(TestPeers.encodeLine(line));
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    socket.getOutputStream().flush();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Resets the connection, which happens to connections of killed processes. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private static List<String> readMessage(InputStream input) throws IOException {
    int count = Integer.parseInt(readHeader(input, '*'));
    List<String> words = new ArrayList<>();
    for (int k = 0; k < count; k++) {
      words.add(readBulkString(input));
    }
    return words;
  }

  private static String readBulkString(InputStream input) throws IOException {
    int length = Integer.parseInt(readHeader(input, '$'));
    byte[] bytes = input.readNBytes(length + 2);
    if (bytes.length < length + 2) {
      throw new EOFException();
    }
    return new String(bytes, 0, length, StandardCharsets.UTF_8);
  }

  private static String readHeader(InputStream input, char kind) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      line.write(next);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    if (text.charAt(0) != kind || !text.endsWith("\r")) {
      throw new IOException("expected a RESP header of type " + kind + ", got: " + text);
    }
    return text.substring(1, text.length() - 1);
  }
}
