package pearusher.scale;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A way in which clients of an assigner misbehave. */
enum ClientPressure {
  /** No client misbehaves. */
  NONE {
    @Override
    void play(InetSocketAddress address, Deadline deadline) {}
  },

  /** Hundreds of collectors write a large message in small pieces, all at the same pace. */
  SLOW_WRITERS {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      List<Socket> sockets = collectors(address, CONNECTIONS);
      byte[] piece = shortStrings(512);
      sockets.forEach(socket -> writeUnlessClosed(socket, ascii("*200000\r\n")));
      while (!deadline.isPassed()) {
        sockets.forEach(socket -> writeUnlessClosed(socket, piece));
      }
      closeAll(sockets);
    }
  },

  /** Hundreds of collectors stop half way through a large message. */
  HALF_MESSAGES {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      List<Socket> sockets = collectors(address, CONNECTIONS);
      byte[] half = new byte[MAX_MESSAGE_BYTES / 2];
      Arrays.fill(half, (byte) 'x');
      for (Socket socket : sockets) {
        writeUnlessClosed(socket, ascii("*2\r\n$" + (MAX_MESSAGE_BYTES - 100) + "\r\n"));
        writeUnlessClosed(socket, half);
      }
      deadline.await();
      closeAll(sockets);
    }
  },

  /** Hundreds of collectors each send complete messages of very many short fields. */
  SHORT_FIELDS {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      List<Socket> sockets = collectors(address, CONNECTIONS);
      byte[] message = shortFieldMessage(9_001);
      while (!deadline.isPassed()) {
        sockets.forEach(socket -> writeUnlessClosed(socket, message));
      }
      closeAll(sockets);
    }
  },

  /** Eight collectors each send load reports with very many short metrics. */
  SHORT_METRICS {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      StringBuilder load = new StringBuilder("inflight:7");
      for (int k = 0; load.length() < MAX_MESSAGE_BYTES - 1_000; k++) {
        load.append(',').append(Integer.toString(k, Character.MAX_RADIX)).append(":1");
      }
      byte[] message = loadReport("s-5be2a07c", "load", load.toString());
      inParallel(8, () -> sendRepeatedly(address, deadline, message));
    }
  },

  /** One collector sends small load reports at full speed. */
  SMALL_REPORTS {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      sendRepeatedly(address, deadline, repeat(loadReport("s-5be2a07c"), 200));
    }
  },

  /** One collector sends messages of an unknown kind at full speed. */
  UNKNOWN_KINDS {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      sendRepeatedly(address, deadline, repeat(RespWriter.encode("nonsense", "a", "b"), 500));
    }
  },

  /** One collector sends load reports of ever new servers at full speed. */
  NEW_SERVERS {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      sendNewServers(address, deadline, 20);
    }
  },

  /** Eight collectors send load reports of ever new servers with long names at full speed. */
  LONG_NAMES {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      inParallel(8, () -> sendNewServers(address, deadline, 50_000));
    }
  },

  /** One proxy after the other joins and leaves at full speed, under all numbers. */
  NEW_PROXIES {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      for (int k = 0; !deadline.isPassed(); k = (k + 1) % 60) {
        try (Socket socket = connect(address)) {
          writeUnlessClosed(
              socket,
              RespWriter.encode(("joined proxy " + k + " zone north weight 1 fresh 1").split(" ")));
        }
      }
    }
  },

  /** One client pings at full speed and reads nothing. */
  UNREAD_PINGS {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      byte[] pings = repeat(RespWriter.encode("ping"), 1_000);
      while (!deadline.isPassed()) {
        try (Socket socket = connect(address)) {
          while (!deadline.isPassed() && writeUnlessClosed(socket, pings)) {}
        }
      }
    }
  },

  /** One client after the other sends bytes that are no message. */
  UNSOUND_BYTES {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      while (!deadline.isPassed()) {
        try (Socket socket = connect(address)) {
          writeUnlessClosed(socket, ascii("GET / HTTP/1.1\r\n\r\n"));
        }
      }
    }
  },

  /** One collector sends reports in one large write and closes its connection, again and again. */
  CLOSED_WITH_UNREAD {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      sendAndClose(address, deadline, false);
    }
  },

  /** The same with a reset in place of the close. */
  RESET_WITH_UNREAD {
    @Override
    void play(InetSocketAddress address, Deadline deadline) throws IOException {
      sendAndClose(address, deadline, true);
    }
  };

  private static final int CONNECTIONS = 600;
  private static final int MAX_MESSAGE_BYTES = 1 << 20;
  private static final int CONNECT_TIMEOUT_MS = 5_000;

  /** An action that may fail because its connection was closed. */
  private interface Action {
    void run() throws IOException;
  }

  /** The end of the pressure. */
  static final class Deadline {
    private final long endNs;

    Deadline(int seconds) {
      endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    }

    boolean isPassed() {
      return System.nanoTime() >= endNs;
    }

    void await() {
      try {
        TimeUnit.NANOSECONDS.sleep(endNs - System.nanoTime());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  abstract void play(InetSocketAddress address, Deadline deadline) throws IOException;

  /** Misbehaves for some seconds, or until the assigner no longer accepts connections. */
  void run(InetSocketAddress address, int seconds) {
    try {
      play(address, new Deadline(seconds));
    } catch (IOException e) {
      System.out.println(name() + " ended early: " + e);
    }
  }

  private static void inParallel(int count, Action action) {
    List<Thread> threads = new ArrayList<>();
    for (int k = 0; k < count; k++) {
      Thread thread = new Thread(() -> runUnlessClosed(action));
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void runUnlessClosed(Action action) {
    try {
      action.run();
    } catch (IOException closed) {
      return;
    }
  }

  private static void sendRepeatedly(InetSocketAddress address, Deadline deadline, byte[] bytes)
      throws IOException {
    while (!deadline.isPassed()) {
      try (Socket socket = collectors(address, 1).get(0)) {
        while (!deadline.isPassed() && writeUnlessClosed(socket, bytes)) {}
      }
    }
  }

  private static void sendAndClose(InetSocketAddress address, Deadline deadline, boolean resets)
      throws IOException {
    byte[] reports = repeat(loadReport("s-5be2a07c"), 20_000);
    while (!deadline.isPassed()) {
      try (Socket socket = collectors(address, 1).get(0)) {
        writeUnlessClosed(socket, reports);
        if (resets) {
          socket.setSoLinger(true, 0);
        }
      }
    }
  }

  private static void sendNewServers(InetSocketAddress address, Deadline deadline, int nameLength)
      throws IOException {
    ByteArrayOutputStream batch = new ByteArrayOutputStream();
    while (!deadline.isPassed()) {
      try (Socket socket = collectors(address, 1).get(0)) {
        boolean open = true;
        while (open && !deadline.isPassed()) {
          batch.reset();
          while (batch.size() < 64 << 10) {
            batch.writeBytes(loadReport(newName(nameLength)));
          }
          open = writeUnlessClosed(socket, batch.toByteArray());
        }
      }
    }
  }

  private static String newName(int length) {
    String name = Long.toString(ThreadLocalRandom.current().nextLong(), Character.MAX_RADIX);
    return name + "x".repeat(Math.max(0, length - name.length()));
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.connect(address, CONNECT_TIMEOUT_MS);
    return socket;
  }

  private static List<Socket> collectors(InetSocketAddress address, int count) throws IOException {
    List<Socket> sockets = new ArrayList<>();
    for (int k = 0; k < count; k++) {
      Socket socket = connect(address);
      socket.getOutputStream().write(RespWriter.encode("collector", "zone", "north"));
      sockets.add(socket);
    }
    return sockets;
  }

  private static boolean writeUnlessClosed(Socket socket, byte[] bytes) {
    try {
      socket.getOutputStream().write(bytes);
      return true;
    } catch (IOException closed) {
      return false;
    }
  }

  private static void closeAll(List<Socket> sockets) throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[] repeat(byte[] message, int count) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int k = 0; k < count; k++) {
      bytes.writeBytes(message);
    }
    return bytes.toByteArray();
  }

  private static byte[] shortStrings(int bytes) {
    return ascii("$1\r\nx\r\n".repeat(bytes / 7));
  }

  private static byte[] shortFieldMessage(int strings) {
    StringBuilder message = new StringBuilder("*" + strings + "\r\n$5\r\nheard\r\n");
    for (int k = 1; k < strings; k++) {
      String name = Integer.toString(k, Character.MAX_RADIX);
      message.append('$').append(name.length()).append("\r\n").append(name).append("\r\n");
    }
    return ascii(message.toString());
  }

  private static byte[] loadReport(String server, String... further) {
    List<String> strings =
        new ArrayList<>(
            List.of(
                ("heard zone north server " + server + " tries 2 failed 0 mean_ms 40 span_ms 1000")
                    .split(" ")));
    strings.addAll(List.of(further));
    return RespWriter.encode(strings.toArray(new String[0]));
  }
}
