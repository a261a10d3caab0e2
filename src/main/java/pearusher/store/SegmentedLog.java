package pearusher.store;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads what a directory holds: the newest whole checkpoint and the logs that follow it. It decides
 * where the last consistent state ends, and whether what can't be read after it was never confirmed
 * (a cut, which every power failure may leave) or was (damage). It never changes a file.
 *
 * <p>The rules. A log is read up to the first sequence that any later log states: a start states by
 * its new log what it took over, and thereby voids all after it. In the last log, bytes that are no
 * frame are the end, unless a whole frame after them says that they had been confirmed. A gap
 * between logs is damage always.
 */
final class SegmentedLog {
  private static final String LOGS = "log-";
  private static final String CHECKPOINTS = "checkpoint-";
  static final String UNFINISHED = ".tmp";

  /** One file of the chain; {@code number}: a log's serial, a checkpoint's sequence. */
  record Part(String name, long number, long first, long bytes) {}

  /**
   * What was read.
   *
   * @param sequence the last one that the state holds
   * @param confirmed at least this one was known to be synced
   * @param damage what was confirmed and can't be read, empty where there is none
   * @param cutBytes bytes passed over at the end, never confirmed
   * @param cutFrames whole frames among them
   */
  record Found(
      Map<String, byte[]> state,
      long store,
      long sequence,
      long confirmed,
      String damage,
      long cutBytes,
      long cutFrames,
      boolean closed,
      List<Part> checkpoints,
      List<Part> logs,
      List<String> bad,
      long batches) {}

  private final Disk disk;
  private final Map<String, byte[]> state = new HashMap<>();
  private final List<String> bad = new ArrayList<>();
  private long store;
  private long sequence;
  private long confirmed;
  private String damage = "";
  private long cutBytes;
  private long cutFrames;
  private boolean closed;
  private long batches;

  private SegmentedLog(Disk disk) {
    this.disk = disk;
  }

  static String log(long serial) {
    return LOGS + String.format("%016x", serial);
  }

  static String checkpoint(long sequence) {
    return CHECKPOINTS + String.format("%016x", sequence);
  }

  /** A log's serial by its name; -1 for other files. */
  static long serial(String name) {
    return number(name, LOGS);
  }

  private static long number(String name, String kind) {
    if (!name.startsWith(kind) || name.length() != kind.length() + 16) {
      return -1;
    }
    try {
      return Long.parseLong(name.substring(kind.length()), 16);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Reads the logs with a serial below a limit, and the checkpoints they follow. */
  static Found read(Disk disk, long below) throws IOException {
    return new SegmentedLog(disk).read(below);
  }

  private Found read(long below) throws IOException {
    List<Part> checkpoints = new ArrayList<>();
    List<Part> logs = new ArrayList<>();
    List<String> names;
    try {
      names = disk.list();
    } catch (IOException e) {
      throw new StoreException(
          StoreException.Reason.ABSENT,
          "store " + disk.describe() + " can't be read: " + e.getMessage(),
          e);
    }
    for (String name : names) {
      long checkpoint = number(name, CHECKPOINTS);
      long serial = number(name, LOGS);
      if (checkpoint >= 0) {
        checkpoints.add(part(name, checkpoint, LogRecord.CHECKPOINT));
      } else if (serial >= 0 && serial < below) {
        logs.add(part(name, serial, LogRecord.LOG));
      }
    }
    checkpoints.sort(Comparator.comparingLong(Part::number).reversed());
    logs.sort(Comparator.comparingLong(Part::number));
    unfinished(logs);
    base(checkpoints);
    follow(logs);
    return new Found(
        state,
        store,
        sequence,
        Math.max(confirmed, 0),
        damage,
        cutBytes,
        cutFrames,
        closed,
        checkpoints,
        logs,
        bad,
        batches);
  }

  /** A file's preamble; first -1 where it has none. */
  private Part part(String name, long number, int kind) throws IOException {
    byte[] head;
    try (InputStream in = disk.open(name)) {
      head = in.readNBytes(LogRecord.PREAMBLE);
    }
    LogRecord.Preamble says = LogRecord.Preamble.decode(head);
    if (says == null) {
      return new Part(name, number, -1, disk.size(name));
    }
    if (says.format() > LogRecord.FORMAT) {
      throw new StoreException(
          StoreException.Reason.NEWER,
          "store "
              + disk.describe()
              + ": "
              + name
              + " has format "
              + says.format()
              + ", this program knows up to "
              + LogRecord.FORMAT
              + "; start the newer program");
    }
    if (says.kind() != kind) {
      return new Part(name, number, -1, disk.size(name));
    }
    if (store != 0 && store != says.store()) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          "store "
              + disk.describe()
              + ": "
              + name
              + " belongs to another store than the files beside it; put the right files back");
    }
    store = says.store();
    return new Part(name, number, says.first(), disk.size(name));
  }

  /**
   * A log may have been begun and not synced when the power went: nothing was written to it then. A
   * preamble is synced before the first frame, so frames without one are damage.
   */
  private void unfinished(List<Part> logs) throws IOException {
    for (Part one : List.copyOf(logs)) {
      if (one.first() >= 0) {
        continue;
      }
      if (evidence(one, 0, 1).frames() > 0) {
        damaged(one.name(), 0, "the preamble can't be read");
        bad.add(one.name());
      } else {
        cutBytes += one.bytes();
      }
      logs.remove(one);
    }
  }

  private void damaged(String name, long offset, String what) {
    String text = name + " at byte " + offset + ": " + what;
    damage = damage.isEmpty() ? text : damage + "; " + text;
  }

  /** Takes the newest checkpoint that is whole. */
  private void base(List<Part> checkpoints) throws IOException {
    for (Part one : checkpoints) {
      String fault = one.first() < 0 ? "the preamble can't be read" : load(one);
      if (fault == null) {
        sequence = one.first();
        confirmed = one.first();
        return;
      }
      state.clear();
      bad.add(one.name());
      damaged(one.name(), 0, fault);
    }
  }

  private String load(Part one) throws IOException {
    long left = one.bytes() - LogRecord.PREAMBLE;
    long entries = 0;
    try (InputStream in = new BufferedInputStream(disk.open(one.name()), 1 << 16)) {
      in.skipNBytes(LogRecord.PREAMBLE);
      while (true) {
        LogRecord frame = LogRecord.read(in, left);
        if (frame == null) {
          return "the entry at byte " + (one.bytes() - left) + " can't be read";
        }
        left -= frame.bytes();
        if (frame.type() == LogRecord.END) {
          return ByteBuffer.wrap(frame.payload()).getLong() == entries && left == 0
              ? null
              : "it ends after " + entries + " entries with " + left + " bytes left";
        }
        WriteBatch batch = WriteBatch.decode(frame.payload());
        entries += batch.changes().size();
        batch.applyTo(state);
      }
    }
  }

  private void follow(List<Part> logs) throws IOException {
    for (int k = 0; k < logs.size(); k++) {
      Part one = logs.get(k);
      long upTo = Long.MAX_VALUE;
      for (Part later : logs.subList(k + 1, logs.size())) {
        upTo = Math.min(upTo, later.first());
      }
      if (upTo <= sequence + 1) {
        continue;
      }
      if (one.first() > sequence + 1) {
        damaged(
            one.name(),
            LogRecord.PREAMBLE,
            "the records "
                + (sequence + 1)
                + " to "
                + (one.first() - 1)
                + " before it are missing");
        return;
      }
      if (!follow(one, upTo)) {
        return;
      }
    }
  }

  /** Applies a log's records below a sequence; false where what follows can't be used. */
  private boolean follow(Part log, long upTo) throws IOException {
    long left = log.bytes() - LogRecord.PREAMBLE;
    long next = log.first();
    closed = false;
    try (InputStream in = new BufferedInputStream(disk.open(log.name()), 1 << 16)) {
      in.skipNBytes(LogRecord.PREAMBLE);
      while (next < upTo && left > 0) {
        LogRecord frame = LogRecord.read(in, left);
        if (frame == null
            || frame.sequence() != next
            || (frame.type() != LogRecord.BATCH && frame.type() != LogRecord.CLOSE)) {
          return ended(log, log.bytes() - left, next, upTo);
        }
        left -= frame.bytes();
        confirmed = Math.max(confirmed, Math.min(frame.confirmed(), next));
        closed = frame.type() == LogRecord.CLOSE;
        if (closed) {
          continue;
        }
        if (next > sequence) {
          WriteBatch.decode(frame.payload()).applyTo(state);
          sequence = next;
          batches++;
        }
        next++;
      }
    }
    return next >= upTo || upTo == Long.MAX_VALUE || ended(log, log.bytes(), next, upTo);
  }

  /** Bytes that are no frame: damage, or the end that a power cut left. */
  private boolean ended(Part log, long offset, long next, long upTo) throws IOException {
    Evidence after = evidence(log, offset, next);
    if (upTo != Long.MAX_VALUE) {
      damaged(
          log.name(),
          offset,
          "record " + next + " can't be read, and a later log goes on from " + upTo);
    } else if (after.confirmed() >= next) {
      damaged(
          log.name(),
          offset,
          "record "
              + next
              + " can't be read, and it was confirmed; "
              + after.frames()
              + " whole records in "
              + (log.bytes() - offset)
              + " bytes follow");
    } else {
      cutBytes += log.bytes() - offset;
      cutFrames += after.frames();
    }
    return false;
  }

  /** Whole frames after a place, and the highest sequence that they know to be confirmed. */
  private record Evidence(long frames, long confirmed) {}

  private Evidence evidence(Part log, long offset, long next) throws IOException {
    byte[] rest;
    try (InputStream in = disk.open(log.name())) {
      in.skipNBytes(Math.min(offset, log.bytes()));
      rest = in.readAllBytes();
    }
    long frames = 0;
    long known = -1;
    for (int at = 0; at < rest.length; ) {
      LogRecord frame = LogRecord.at(rest, at, next);
      if (frame == null) {
        at++;
        continue;
      }
      frames += frame.type() == LogRecord.BATCH ? 1 : 0;
      // An orderly end confirms all before it.
      known =
          Math.max(
              known, frame.type() == LogRecord.CLOSE ? frame.sequence() - 1 : frame.confirmed());
      at += frame.bytes();
    }
    return new Evidence(frames, known);
  }

  /**
   * The files again, where one vanished under the reader by a compaction of the running process.
   */
  static Found readWhileOpen(Disk disk) throws IOException {
    for (int tries = 1; ; tries++) {
      try {
        return read(disk, Long.MAX_VALUE);
      } catch (NoSuchFileException e) {
        if (tries == 20) {
          throw e;
        }
      }
    }
  }
}
