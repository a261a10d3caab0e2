package pearusher.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Reads the CPU time and memory of a process from /proc and its live heap from jcmd. */
public final class ProcessFigures {
  /** The unit of CPU times in /proc, in milliseconds. */
  public static final double TICK_MS = 10;

  /** Columns of user and system time in /proc/PID/stat, counted after the name in parentheses. */
  private static final int USER_TICKS_COLUMN = 11;

  private static final int SYSTEM_TICKS_COLUMN = 12;
  private static final int STATE_COLUMN = 3;
  private static final String ESTABLISHED = "01";
  private static final int QUEUES_COLUMN = 4;
  private static final long JCMD_TIMEOUT_SECONDS = 60;

  private ProcessFigures() {}

  /** Returns the user and system time of a process, in ticks. */
  public static long cpuTicks(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return Long.parseLong(fields[USER_TICKS_COLUMN]) + Long.parseLong(fields[SYSTEM_TICKS_COLUMN]);
  }

  /** Returns the resident memory of a process, in kB. */
  static long residentKb(long pid) throws IOException {
    return statusField(pid, "VmRSS");
  }

  static long peakResidentKb(long pid) throws IOException {
    return statusField(pid, "VmHWM");
  }

  /** Returns the number in a row of /proc/PID/status, in the unit of the row. */
  public static long statusField(long pid, String name) throws IOException {
    List<String> lines = Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"));
    for (String line : lines) {
      if (line.startsWith(name + ":")) {
        return Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    throw new IOException("no row " + name + " in /proc/" + pid + "/status");
  }

  /** Returns the available memory of the machine, in kB. */
  static long availableKb() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
      if (line.startsWith("MemAvailable:")) {
        return Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    throw new IOException("no row MemAvailable in /proc/meminfo");
  }

  /**
   * Returns the bytes that all connections of a local port have received and the process has not
   * read.
   */
  static long unreadBytes(int port) throws IOException {
    long total = 0;
    for (String table : new String[] {"tcp", "tcp6"}) {
      Path file = Path.of("/proc", "net", table);
      if (Files.exists(file)) {
        for (String line : Files.readAllLines(file)) {
          total += unreadBytesOfRow(line.strip().split("\\s+"), port);
        }
      }
    }
    return total;
  }

  /**
   * Returns the bytes in the receive queue of a row of /proc/net/tcp, whose address and queues are
   * hexadecimal. Returns 0 for other ports.
   */
  private static long unreadBytesOfRow(String[] fields, int port) {
    boolean connected = fields.length > QUEUES_COLUMN && fields[STATE_COLUMN].equals(ESTABLISHED);
    if (!connected
        || Integer.parseInt(fields[1].substring(fields[1].indexOf(':') + 1), 16) != port) {
      return 0;
    }
    return Long.parseLong(
        fields[QUEUES_COLUMN].substring(fields[QUEUES_COLUMN].indexOf(':') + 1), 16);
  }

  /**
   * Returns the bytes of live objects after a full garbage collection, or empty if the process does
   * not answer jcmd.
   */
  public static OptionalLong liveHeapBytes(long pid) throws IOException, InterruptedException {
    Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
    Process process =
        new ProcessBuilder(jcmd.toString(), Long.toString(pid), "GC.class_histogram")
            .redirectErrorStream(true)
            .start();
    try {
      String histogram =
          new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      process.waitFor(JCMD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      return totalBytes(histogram);
    } finally {
      process.destroyForcibly();
    }
  }

  /**
   * Returns the bytes in the last row, "Total INSTANCES BYTES", of a class histogram, or empty
   * without that row.
   */
  static OptionalLong totalBytes(String histogram) {
    for (String line : histogram.split("\n")) {
      String[] columns = line.strip().split("\\s+");
      if (columns.length == 3 && columns[0].equals("Total")) {
        return OptionalLong.of(Long.parseLong(columns[2]));
      }
    }
    return OptionalLong.empty();
  }
}
