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

/** A connection to an assigner that sends what a test tells it to, and records what it receives. */
class RespClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 5000;

  final Socket socket = new Socket();

  /** Messages that were received, each as its words. */
  final List<List<String>> received = new CopyOnWriteArrayList<>();

  /** Whether the connection has ended. */
  volatile boolean isEnded;

  RespClient(InetSocketAddress to) throws IOException {
    socket.connect(to, CONNECT_TIMEOUT_MS);
  }

  /** Starts to read, on a thread of its own. */
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

  /** Called with each message on the reading thread. */
  void onMessage(List<String> words) throws IOException {}

  /** Sends a message, given by its words with spaces between. */
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

  /** Ends the connection as a killed process does. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private static List<String> readMessage(InputStream input) throws IOException {
    int count = Integer.parseInt(readHeader(input, '*'));
    List<String> words = new ArrayList<>();
    for (int k = 0; k < count; k++) {
      words.add(readWord(input));
    }
    return words;
  }

  private static String readWord(InputStream input) throws IOException {
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
      throw new IOException("not RESP: " + text);
    }
    return text.substring(1, text.length() - 1);
  }
}
